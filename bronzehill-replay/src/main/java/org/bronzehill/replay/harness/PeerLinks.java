package org.bronzehill.replay.harness;

import com.google.protobuf.TextFormat;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.bronzehill.core.node.Input;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Message links between entry instances. A link delivers messages in order, like a TCP connection.
 * A partition drops all messages between its sides; a sender that requests a new connection is
 * informed after the connect timeout, any other sender is not. A silent link drops messages until
 * the sender requests a new connection.
 */
final class PeerLinks {

    private static final long LOCAL_LATENCY_NANOS = 100_000;
    private static final long JITTER_NANOS = 200_000;
    private static final long CONNECT_TIMEOUT_NANOS = 250 * VirtualTime.NANOS_PER_MS;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final long remoteLatencyNanos;
    private final Function<String, EntryInstance> instances;
    private final Map<String, Long> lastDelivery = new HashMap<>();
    private final Set<String> silentLinks = new HashSet<>();
    private List<List<String>> partitionSides = List.of();
    private long messages;
    private long bytes;
    private final Map<String, Long> bytesByKind = new TreeMap<>();
    private LinkDelays delays;
    private EventLog log;
    private Set<String> loggedKinds = Set.of();

    PeerLinks(
            VirtualTime time,
            RandomGenerator random,
            long remoteLatencyNanos,
            Function<String, EntryInstance> instances) {
        this.time = time;
        this.random = random;
        this.remoteLatencyNanos = remoteLatencyNanos;
        this.instances = instances;
    }

    void partition(List<List<String>> next) {
        partitionSides = next;
    }

    void silence(String from, String to) {
        silentLinks.add(from + '>' + to);
        silentLinks.add(to + '>' + from);
    }

    void setDelays(LinkDelays next) {
        delays = next;
    }

    void logTo(EventLog target, Set<String> kinds) {
        log = target;
        loggedKinds = kinds;
    }

    private void logMessage(String from, String to, Envelope e) {
        if (loggedKinds.contains(e.getBodyCase().name())) {
            String text = TextFormat.printer().emittingSingleLine(true).printToString(e);
            log.add(new LogEvent.MessageSent(time.now(), from, to, text));
        }
    }

    long messages() {
        return messages;
    }

    Map<String, Long> bytesByKind() {
        return bytesByKind;
    }

    long bytes() {
        return bytes;
    }

    void send(EntryInstance from, String to, Envelope envelope, boolean newConnection) {
        messages++;
        bytes += envelope.getSerializedSize();
        String kind = envelope.getBodyCase().name();
        bytesByKind.merge(kind, (long) envelope.getSerializedSize(), Long::sum);
        logMessage(from.id(), to, envelope);
        EntryInstance target = instances.apply(to);
        String link = from.id() + '>' + to;
        if (newConnection) {
            silentLinks.remove(link);
        }
        if (isPartitioned(from.id(), to)) {
            if (newConnection) {
                reportUnreachable(from, to, CONNECT_TIMEOUT_NANOS);
            }
            return;
        }
        if (target == null || !target.isRunning()) {
            reportUnreachable(from, to, LOCAL_LATENCY_NANOS);
            return;
        }
        if (silentLinks.contains(link)) {
            return;
        }
        long arrival =
                Math.max(
                        time.now() + delay(from, target) + delays.extraNanos(), lastDelivery(link));
        lastDelivery.put(link, arrival);
        time.at(arrival, () -> deliver(from, to, target, envelope));
    }

    private void deliver(EntryInstance from, String to, EntryInstance target, Envelope envelope) {
        if (target.isRunning() && instances.apply(to) == target) {
            target.receive(envelope);
        } else {
            reportUnreachable(from, to, LOCAL_LATENCY_NANOS);
        }
    }

    private void reportUnreachable(EntryInstance from, String to, long after) {
        time.after(after, () -> from.deliver(new Input.PeerUnreachable(to)));
    }

    private long lastDelivery(String link) {
        return lastDelivery.getOrDefault(link, 0L);
    }

    private long delay(EntryInstance from, EntryInstance to) {
        boolean local = from.dataCentre().equals(to.dataCentre());
        return (local ? LOCAL_LATENCY_NANOS : remoteLatencyNanos) + random.nextLong(JITTER_NANOS);
    }

    private boolean isPartitioned(String a, String b) {
        return side(a) != side(b);
    }

    private int side(String entry) {
        for (int i = 0; i < partitionSides.size(); i++) {
            if (partitionSides.get(i).contains(entry)) {
                return i;
            }
        }
        return -1;
    }
}
