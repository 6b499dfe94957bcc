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
 * Message links between entry instances. A link delivers in order, like a TCP connection. A
 * partition drops messages without a sign; a silent link does so until a fresh one is asked for.
 */
final class PeerLinks {

    private static final long LOCAL_NANOS = 100_000;
    private static final long JITTER_NANOS = 200_000;
    private static final long CONNECT_TIMEOUT_NANOS = 250 * VirtualTime.MS;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final long oneWayNanos;
    private final Function<String, EntryProgram> programs;
    private final Map<String, Long> lastDelivery = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private List<List<String>> sides = List.of();
    private long messages;
    private long bytes;
    private final Map<String, Long> bytesByKind = new TreeMap<>();
    private Delays delays;
    private EventLog log;
    private Set<String> logged = Set.of();

    PeerLinks(
            VirtualTime time,
            RandomGenerator random,
            long oneWayNanos,
            Function<String, EntryProgram> programs) {
        this.time = time;
        this.random = random;
        this.oneWayNanos = oneWayNanos;
        this.programs = programs;
    }

    void partition(List<List<String>> next) {
        sides = next;
    }

    void silence(String from, String to) {
        silent.add(from + '>' + to);
        silent.add(to + '>' + from);
    }

    void delays(Delays next) {
        delays = next;
    }

    void logTo(EventLog target, Set<String> kinds) {
        log = target;
        logged = kinds;
    }

    private void logMessage(String from, String to, Envelope e) {
        if (logged.contains(e.getBodyCase().name())) {
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

    void send(EntryProgram from, String to, Envelope envelope, boolean fresh) {
        messages++;
        bytes += envelope.getSerializedSize();
        String kind = envelope.getBodyCase().name();
        bytesByKind.merge(kind, (long) envelope.getSerializedSize(), Long::sum);
        logMessage(from.id(), to, envelope);
        EntryProgram target = programs.apply(to);
        String link = from.id() + '>' + to;
        if (fresh) {
            silent.remove(link);
        }
        if (isSeparated(from.id(), to)) {
            if (fresh) {
                unreachable(from, to, CONNECT_TIMEOUT_NANOS);
            }
            return;
        }
        if (target == null || !target.isRunning()) {
            unreachable(from, to, LOCAL_NANOS);
            return;
        }
        if (silent.contains(link)) {
            return;
        }
        long arrival =
                Math.max(
                        time.now() + delay(from, target) + delays.extraNanos(), lastDelivery(link));
        lastDelivery.put(link, arrival);
        time.at(arrival, () -> arrive(from, to, target, envelope));
    }

    private void arrive(EntryProgram from, String to, EntryProgram target, Envelope envelope) {
        if (target.isRunning() && programs.apply(to) == target) {
            target.receive(envelope);
        } else {
            unreachable(from, to, LOCAL_NANOS);
        }
    }

    private void unreachable(EntryProgram from, String to, long after) {
        time.after(after, () -> from.deliver(new Input.PeerUnreachable(to)));
    }

    private long lastDelivery(String link) {
        return lastDelivery.getOrDefault(link, 0L);
    }

    private long delay(EntryProgram from, EntryProgram to) {
        boolean local = from.dataCentre().equals(to.dataCentre());
        return (local ? LOCAL_NANOS : oneWayNanos) + random.nextLong(JITTER_NANOS);
    }

    private boolean isSeparated(String a, String b) {
        return side(a) != side(b);
    }

    private int side(String entry) {
        for (int i = 0; i < sides.size(); i++) {
            if (sides.get(i).contains(entry)) {
                return i;
            }
        }
        return -1;
    }
}
