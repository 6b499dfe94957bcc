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

/** Probes one instance per period, directly and through others, and judges the acks. */
final class Prober {

    private static final long PERIOD_NANOS = 500_000_000L;
    private static final long ACK_NANOS = 250_000_000L;
    private static final long GIVE_UP_NANOS = 750_000_000L;
    private static final long RELAY_NANOS = 1_000_000_000L;
    private static final int HELPERS = 3;
    private static final int TIMELY_ACKS = 3;
    private static final int MAX_RELAYS = 512;

    private final InstanceRef self;
    private final MemberTable table;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<String, Probe> byTarget = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final List<String> order = new ArrayList<>();
    private long nextPeriod;
    private long sequence;
    private int extra;

    Prober(InstanceRef self, MemberTable table, TimeSource time, RandomGenerator random) {
        this.self = self;
        this.table = table;
        this.time = time;
        this.random = random;
        // Instances that start together would otherwise probe in the same tick for ever.
        this.nextPeriod = time.nanoTime() + random.nextLong(PERIOD_NANOS);
    }

    private static final class Probe {
        private final String target;
        private final long sentAt;
        private long credit;
        private boolean second;
        private boolean indirect;

        private Probe(String target, long sentAt) {
            this.target = target;
            this.sentAt = sentAt;
        }

        private long age(long now) {
            return now - sentAt - credit;
        }
    }

    private record Relay(String origin, long sequence, String target, long at) {}

    void onTick(Effects out) {
        long now = time.nanoTime();
        judge(now, out);
        relays.values().removeIf(r -> now - r.at() > RELAY_NANOS);
        if (now - nextPeriod >= 0) {
            nextPeriod = Math.max(nextPeriod + PERIOD_NANOS, now - PERIOD_NANOS / 2);
            probe(nextInOrder(), out);
            probe(nextOf(r -> r.health() == Row.Health.SUSPECT || r.slow()), out);
            probe(nextOf(r -> r.health() == Row.Health.DEAD && r.listed()), out);
            extra++;
        }
    }

    /** Extends the running probes by a time in which this process itself did not run. */
    void creditPause(long nanos) {
        probes.values().forEach(p -> p.credit += nanos);
    }

    private void judge(long now, Effects out) {
        List<Probe> failed = new ArrayList<>();
        for (Iterator<Map.Entry<Long, Probe>> i = probes.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Probe> e = i.next();
            Probe p = e.getValue();
            if (p.age(now) >= GIVE_UP_NANOS) {
                i.remove();
                byTarget.remove(p.target);
                failed.add(p);
            } else if (p.age(now) >= ACK_NANOS && !p.second) {
                secondStage(e.getKey(), p, out);
            }
        }
        for (Probe p : failed) {
            Row row = table.row(p.target);
            if (row != null && p.indirect) {
                late(row);
            } else if (row != null && row.health() == Row.Health.UP) {
                table.suspect(row, out);
                // A peer that is late but running gets the suspicion soon enough to refute it.
                sendPing(p.target, ++sequence, true, out);
            }
        }
    }

    private void secondStage(long seq, Probe p, Effects out) {
        p.second = true;
        sendPing(p.target, seq, true, out);
        for (String helper : helpers(p.target)) {
            PingRequest.Builder request =
                    PingRequest.newBuilder()
                            .setSequence(seq)
                            .setTarget(p.target)
                            .addAllUpdates(table.updatesFor(helper));
            send(helper, Envelope.newBuilder().setPingRequest(request), false, out);
        }
    }

    private List<String> helpers(String target) {
        List<InstanceRef> live = table.live();
        List<String> chosen = new ArrayList<>();
        for (int tries = 0; tries < 4 * HELPERS && chosen.size() < HELPERS; tries++) {
            String id = live.isEmpty() ? target : live.get(random.nextInt(live.size())).id();
            if (!id.equals(target) && !id.equals(self.id()) && !chosen.contains(id)) {
                chosen.add(id);
            }
        }
        return chosen;
    }

    private String nextInOrder() {
        for (int tries = 0; tries < 2; tries++) {
            while (!order.isEmpty()) {
                String id = order.remove(order.size() - 1);
                Row row = table.row(id);
                if (row != null && row.health() != Row.Health.DEAD) {
                    return id;
                }
            }
            for (Row r : table.rows()) {
                if (r.health() != Row.Health.DEAD) {
                    order.add(r.ref().id());
                }
            }
            Collections.shuffle(order, new Random(random.nextLong()));
        }
        return null;
    }

    /**
     * Rotates through the rows that need attention, so that a full round of a large fleet does not
     * delay a refutation, the end of SLOW or the return of a partitioned side.
     */
    private String nextOf(java.util.function.Predicate<Row> wanted) {
        List<String> ids = new ArrayList<>();
        for (Row r : table.rows()) {
            if (wanted.test(r)) {
                ids.add(r.ref().id());
            }
        }
        return ids.isEmpty() ? null : ids.get(extra % ids.size());
    }

    private void probe(String target, Effects out) {
        if (target == null || byTarget.containsKey(target)) {
            return;
        }
        Probe p = new Probe(target, time.nanoTime());
        probes.put(++sequence, p);
        byTarget.put(target, p);
        sendPing(target, sequence, false, out);
    }

    /** Probes at once over a new connection an instance that could not be written to. */
    void unreachable(String target, Effects out) {
        if (table.row(target) == null) {
            return;
        }
        probe(target, out);
        for (Map.Entry<Long, Probe> e : probes.entrySet()) {
            if (e.getValue().target.equals(target) && !e.getValue().second) {
                secondStage(e.getKey(), e.getValue(), out);
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

    /** Returns when the acknowledged probe was sent, or {@code Long.MIN_VALUE} if it is unknown. */
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
            p.indirect |= ack.getOnBehalfOf().equals(p.target);
            return Long.MIN_VALUE;
        }
        if (!p.target.equals(from)) {
            return Long.MIN_VALUE;
        }
        probes.remove(ack.getSequence());
        byTarget.remove(p.target);
        Row row = table.row(from);
        if (row != null && p.age(time.nanoTime()) <= ACK_NANOS) {
            if (row.timelyAck(TIMELY_ACKS)) {
                table.changed();
            }
        } else if (row != null) {
            late(row);
        }
        return p.sentAt;
    }

    private void late(Row row) {
        if (row.lateAck()) {
            table.changed();
        }
    }

    private void sendPing(String target, long seq, boolean fresh, Effects out) {
        Ping.Builder ping = Ping.newBuilder().setSequence(seq);
        ping.addAllUpdates(table.updatesFor(target));
        send(target, Envelope.newBuilder().setPing(ping), fresh, out);
    }

    private static void send(String to, Envelope.Builder body, boolean fresh, Effects out) {
        out.add(new Effect.SendPeer(to, body, fresh));
    }
}
