package org.bronzehill.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Ack;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.Ping;
import org.bronzehill.protocol.generated.PingRequest;

/** SWIM-style failure detector: probes peers in each period, directly and through other peers. */
final class Prober {

    private static final long PROBE_PERIOD_NANOS = 500_000_000L;
    private static final long ACK_TIMEOUT_NANOS = 250_000_000L;
    private static final long PROBE_TIMEOUT_NANOS = 750_000_000L;
    private static final long RELAY_TIMEOUT_NANOS = 1_000_000_000L;
    private static final int INDIRECT_PROBERS = 3;
    private static final int TIMELY_ACKS_TO_RECOVER = 3;
    private static final int MAX_RELAYS = 512;

    private final InstanceRef self;
    private final MemberTable table;
    private final DepartedInstances departed;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<String, Probe> probesByTarget = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    private long nextPeriodNanos;
    private long sequence;
    private int rotation;

    Prober(
            InstanceRef self,
            MemberTable table,
            DepartedInstances departed,
            TimeSource time,
            RandomGenerator random) {
        this.self = self;
        this.table = table;
        this.departed = departed;
        this.time = time;
        this.random = random;
        // A random phase keeps instances that start together from always probing in the same tick.
        this.nextPeriodNanos = time.nanoTime() + random.nextLong(PROBE_PERIOD_NANOS);
    }

    private static final class Probe {
        private final String target;
        private final long sentAtNanos;
        private long excludedNanos;
        private boolean indirectProbeStarted;
        private boolean indirectAck;

        private Probe(String target, long sentAtNanos) {
            this.target = target;
            this.sentAtNanos = sentAtNanos;
        }

        private long ageNanos(long now) {
            return now - sentAtNanos - excludedNanos;
        }
    }

    private record Relay(String origin, long sequence, String target, long receivedAtNanos) {}

    void onTick(Effects out) {
        long now = time.nanoTime();
        checkTimeouts(now, out);
        relays.values().removeIf(r -> now - r.receivedAtNanos() > RELAY_TIMEOUT_NANOS);
        if (now - nextPeriodNanos >= 0) {
            nextPeriodNanos =
                    Math.max(nextPeriodNanos + PROBE_PERIOD_NANOS, now - PROBE_PERIOD_NANOS / 2);
            probe(nextInOrder(), out);
            probe(nextMatching(r -> r.health() == MemberRow.Health.SUSPECT || r.slow()), out);
            probe(nextMatching(r -> r.health() == MemberRow.Health.DEAD && r.listed()), out);
            probeDeparted(out);
            rotation++;
        }
    }

    /**
     * Pings instances that stopped answering. Nothing follows if they still do not answer, so these
     * pings are not tracked. Where a list is published, it names the instances that return.
     */
    private void probeDeparted(Effects out) {
        if (table.hasList()) {
            return;
        }
        departed.update(self, table.rows());
        departed.takeDue(table.live().size()).forEach(id -> sendPing(id, ++sequence, true, out));
    }

    /** Extends the running probes by the time for which this process was paused. */
    void excludePause(long nanos) {
        probes.values().forEach(p -> p.excludedNanos += nanos);
    }

    private void checkTimeouts(long now, Effects out) {
        List<Probe> failed = new ArrayList<>();
        for (Iterator<Map.Entry<Long, Probe>> i = probes.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Probe> e = i.next();
            Probe p = e.getValue();
            if (p.ageNanos(now) >= PROBE_TIMEOUT_NANOS) {
                i.remove();
                probesByTarget.remove(p.target);
                failed.add(p);
            } else if (p.ageNanos(now) >= ACK_TIMEOUT_NANOS && !p.indirectProbeStarted) {
                startIndirectProbe(e.getKey(), p, out);
            }
        }
        for (Probe p : failed) {
            MemberRow row = table.row(p.target);
            if (row != null && p.indirectAck) {
                recordLateAck(row);
            } else if (row != null && row.health() == MemberRow.Health.UP) {
                table.suspect(row, out);
                // The ping carries the suspicion, so that a slow but running peer can refute it.
                sendPing(p.target, ++sequence, true, out);
            }
        }
    }

    private void startIndirectProbe(long seq, Probe p, Effects out) {
        p.indirectProbeStarted = true;
        sendPing(p.target, seq, true, out);
        for (String prober : indirectProbers(p.target)) {
            PingRequest.Builder request =
                    PingRequest.newBuilder()
                            .setSequence(seq)
                            .setTarget(p.target)
                            .addAllUpdates(table.updatesFor(prober));
            send(prober, Envelope.newBuilder().setPingRequest(request), false, out);
        }
    }

    private List<String> indirectProbers(String target) {
        List<InstanceRef> live = table.live();
        List<String> chosen = new ArrayList<>();
        for (int tries = 0;
                tries < 4 * INDIRECT_PROBERS && chosen.size() < INDIRECT_PROBERS;
                tries++) {
            String id = live.isEmpty() ? target : live.get(random.nextInt(live.size())).id();
            if (!id.equals(target) && !id.equals(self.id()) && !chosen.contains(id)) {
                chosen.add(id);
            }
        }
        return chosen;
    }

    private String nextInOrder() {
        for (int tries = 0; tries < 2; tries++) {
            while (!probeOrder.isEmpty()) {
                String id = probeOrder.remove(probeOrder.size() - 1);
                MemberRow row = table.row(id);
                if (row != null && row.health() != MemberRow.Health.DEAD) {
                    return id;
                }
            }
            for (MemberRow r : table.rows()) {
                if (r.health() != MemberRow.Health.DEAD) {
                    probeOrder.add(r.ref().id());
                }
            }
            Collections.shuffle(probeOrder, new Random(random.nextLong()));
        }
        return null;
    }

    /**
     * Returns the next matching row in rotation. These rows are probed in addition to the regular
     * round, which takes long in a large fleet and would delay refutations, the end of SLOW and the
     * recovery after a partition.
     */
    private String nextMatching(java.util.function.Predicate<MemberRow> filter) {
        List<String> ids = new ArrayList<>();
        for (MemberRow r : table.rows()) {
            if (filter.test(r)) {
                ids.add(r.ref().id());
            }
        }
        return ids.isEmpty() ? null : ids.get(rotation % ids.size());
    }

    private void probe(String target, Effects out) {
        if (target == null || probesByTarget.containsKey(target)) {
            return;
        }
        Probe p = new Probe(target, time.nanoTime());
        probes.put(++sequence, p);
        probesByTarget.put(target, p);
        sendPing(target, sequence, false, out);
    }

    /**
     * Probes an instance immediately after a failed write to it: over the open connection, a new
     * connection and other peers.
     */
    void probeAtOnce(String target, Effects out) {
        if (table.row(target) == null) {
            return;
        }
        probe(target, out);
        for (Map.Entry<Long, Probe> e : probes.entrySet()) {
            if (e.getValue().target.equals(target) && !e.getValue().indirectProbeStarted) {
                startIndirectProbe(e.getKey(), e.getValue(), out);
                return;
            }
        }
    }

    void onPing(String from, Ping ping, Effects out) {
        Ack.Builder ack = Ack.newBuilder().setSequence(ping.getSequence());
        ack.addAllUpdates(table.updatesFor(from));
        send(from, Envelope.newBuilder().setAck(ack), false, out);
    }

    void onPingRequest(String from, PingRequest request, Effects out) {
        if (relays.size() < MAX_RELAYS) {
            long seq = ++sequence;
            relays.put(
                    seq,
                    new Relay(from, request.getSequence(), request.getTarget(), time.nanoTime()));
            sendPing(request.getTarget(), seq, false, out);
        }
    }

    /** Returns the send time of the acknowledged probe; {@code Long.MIN_VALUE} if it is unknown. */
    long onAck(String from, Ack ack, Effects out) {
        Relay relay = relays.remove(ack.getSequence());
        if (relay != null && relay.target().equals(from)) {
            Ack.Builder back = Ack.newBuilder().setSequence(relay.sequence()).setOnBehalfOf(from);
            back.addAllUpdates(table.updatesFor(relay.origin()));
            send(relay.origin(), Envelope.newBuilder().setAck(back), false, out);
            return Long.MIN_VALUE;
        }
        Probe p = probes.get(ack.getSequence());
        if (p == null) {
            return Long.MIN_VALUE;
        }
        if (!ack.getOnBehalfOf().isEmpty()) {
            p.indirectAck |= ack.getOnBehalfOf().equals(p.target);
            return Long.MIN_VALUE;
        }
        if (!p.target.equals(from)) {
            return Long.MIN_VALUE;
        }
        probes.remove(ack.getSequence());
        probesByTarget.remove(p.target);
        MemberRow row = table.row(from);
        if (row != null && p.ageNanos(time.nanoTime()) <= ACK_TIMEOUT_NANOS) {
            if (row.recordTimelyAck(TIMELY_ACKS_TO_RECOVER)) {
                table.invalidateViews();
            }
        } else if (row != null) {
            recordLateAck(row);
        }
        return p.sentAtNanos;
    }

    private void recordLateAck(MemberRow row) {
        if (row.recordLateAck()) {
            table.invalidateViews();
        }
    }

    private void sendPing(String target, long seq, boolean newConnection, Effects out) {
        Ping.Builder ping = Ping.newBuilder().setSequence(seq);
        ping.addAllUpdates(table.updatesFor(target));
        send(target, Envelope.newBuilder().setPing(ping), newConnection, out);
    }

    private static void send(String to, Envelope.Builder body, boolean newConnection, Effects out) {
        out.add(new Effect.SendPeer(to, body, newConnection));
    }
}
