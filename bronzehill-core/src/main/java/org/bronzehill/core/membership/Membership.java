package org.bronzehill.core.membership;

import io.vavr.control.Option;
import java.util.List;
import java.util.random.RandomGenerator;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Ack;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.Leaving;
import org.bronzehill.protocol.generated.MemberUpdate;

/** Membership of entry instances, seeded from the published instance list and kept by probes. */
public final class Membership {

    /**
     * Gaps between ticks above this value count as a pause of this process. Acks that arrived
     * during the pause may still wait in the input queue and must not count as missing.
     */
    private static final long PAUSE_THRESHOLD_NANOS = 150_000_000L;

    private static final long NEVER = Long.MIN_VALUE;

    /**
     * Refutation number of a departed instance, whose own number is no longer known. It is below
     * all others, so that the update does not end a membership that the receiver knows of.
     */
    private static final int UNTRACKED_REFUTATION = -1;

    /** Number of instances that tell a joining one of departures. */
    private static final int MAX_INFORMERS = 3;

    private final InstanceRef self;
    private final TimeSource time;
    private final DepartedInstances departed;
    private final MemberTable table;
    private final Prober prober;
    private InstanceList list = InstanceList.EMPTY;
    private long listConfirmedAtNanos = NEVER;
    private long lastTickNanos;
    private int lastReportedLive = -1;

    private Membership(InstanceRef self, TimeSource time, RandomGenerator random) {
        this.self = self;
        this.time = time;
        this.departed = new DepartedInstances(time, random);
        this.table = new MemberTable(self, departed, time);
        this.prober = new Prober(self, table, departed, time, random);
        this.lastTickNanos = time.nanoTime();
    }

    /** Creates a membership that contains only the instance itself. */
    public static Membership create(InstanceRef self, TimeSource time, RandomGenerator random) {
        return new Membership(self, time, random);
    }

    /** Sends due probes and expires suspicions. */
    public void onTick(Effects out) {
        long now = time.nanoTime();
        long gap = now - lastTickNanos;
        lastTickNanos = now;
        if (gap > PAUSE_THRESHOLD_NANOS) {
            prober.excludePause(gap);
            table.excludePause(gap);
        }
        prober.onTick(out);
        table.expireRows(out);
        int live = table.live().size();
        if (live != lastReportedLive) {
            lastReportedLive = live;
            out.add(new Effect.RecordMetric(CoreMetric.PEERS_ALIVE, "", live));
        }
    }

    /** Applies a version of the published instance list; older versions are ignored. */
    public void onInstanceList(InstanceList read, Effects out) {
        if (read.version() < list.version()) {
            return;
        }
        listConfirmedAtNanos = time.nanoTime();
        if (read.version() > list.version()) {
            list = read;
            table.applyList(read);
        }
    }

    /** Handles Ping, Ack, PingRequest and Leaving. */
    public void onMessage(Envelope envelope, Effects out) {
        String from = envelope.getFrom();
        MemberRow row = table.row(from);
        if (row != null && envelope.getFromIncarnation() < row.ref().incarnation()) {
            return;
        }
        boolean joins =
                row == null
                        || row.health() == MemberRow.Health.DEAD
                        || envelope.getFromIncarnation() > row.ref().incarnation();
        switch (envelope.getBodyCase()) {
            case PING -> {
                merge(envelope.getPing().getUpdatesList(), out);
                prober.onPing(from, envelope.getPing(), out);
                long senderTableHash = envelope.getPing().getTableHash();
                if (senderTableHash != 0 && senderTableHash != table.hash()) {
                    sendAllRows(from, out);
                }
            }
            case ACK -> {
                merge(envelope.getAck().getUpdatesList(), out);
                long sentAtNanos = prober.onAck(from, envelope.getAck(), out);
                if (list.version() > 0 && envelope.getListVersion() <= list.version()) {
                    listConfirmedAtNanos = Math.max(listConfirmedAtNanos, sentAtNanos);
                }
            }
            case PING_REQUEST -> {
                merge(envelope.getPingRequest().getUpdatesList(), out);
                prober.onPingRequest(from, envelope.getPingRequest(), out);
            }
            case LEAVING -> table.markLeaving(from, out);
            default -> {}
        }
        if (joins && table.row(from) != null) {
            sendDepartures(from, out);
        }
    }

    /**
     * Tells an instance that joins where departed instances may return. The instances that do so
     * are chosen by its id, so that it does not receive the same from a whole fleet.
     */
    private void sendDepartures(String joined, Effects out) {
        List<InstanceRef> departures = departed.latestObserved();
        if (departures.isEmpty()
                || RendezvousHash.rank(joined, table.live(), InstanceRef::id).stream()
                        .filter(i -> !i.id().equals(joined))
                        .limit(MAX_INFORMERS)
                        .noneMatch(i -> i.id().equals(self.id()))) {
            return;
        }
        Ack.Builder ack = Ack.newBuilder();
        departures.forEach(
                ref ->
                        ack.addUpdates(
                                MemberRow.update(ref, UNTRACKED_REFUTATION, PeerStatus.DEAD)
                                        .build()));
        out.add(new Effect.SendPeer(joined, Envelope.newBuilder().setAck(ack), false));
    }

    private void merge(List<MemberUpdate> updates, Effects out) {
        updates.forEach(u -> table.merge(u, out));
    }

    /** Returns a hash of the known live instances; never 0. */
    public long tableHash() {
        return table.hash();
    }

    /** Sends all rows to an instance whose set of live instances differs. */
    private void sendAllRows(String instance, Effects out) {
        for (List<MemberUpdate> part : table.allUpdates()) {
            Envelope.Builder body =
                    Envelope.newBuilder().setAck(Ack.newBuilder().addAllUpdates(part));
            out.add(new Effect.SendPeer(instance, body, false));
        }
    }

    /** Probes an instance to which a message could not be written. */
    public void onUnreachable(String instance, Effects out) {
        prober.probeAtOnce(instance, out);
    }

    /** Announces the planned shutdown of this instance to all peers. */
    public void leave(Effects out) {
        if (table.leaving()) {
            return;
        }
        table.announceLeaving();
        for (Peer p : table.peers()) {
            if (p.status() != PeerStatus.DEAD) {
                Envelope.Builder body =
                        Envelope.newBuilder().setLeaving(Leaving.getDefaultInstance());
                out.add(new Effect.SendPeer(p.id(), body, false));
            }
        }
    }

    /** Returns the other instances, ordered by id. */
    public List<Peer> peers() {
        return table.peers();
    }

    /** Returns another instance by its id. */
    public Option<Peer> peer(String id) {
        return Option.of(table.row(id)).map(r -> new Peer(r.ref(), r.status()));
    }

    /**
     * Returns where an instance can be reached: its row, or its last known address if it has
     * stopped answering and was removed.
     */
    public Option<InstanceRef> lastKnown(String id) {
        return Option.of(table.row(id)).map(MemberRow::ref).orElse(() -> departed.ref(id));
    }

    /** Returns the number of unlisted instances that stopped answering and are still probed. */
    public int departedCount() {
        return departed.size();
    }

    /**
     * Returns the instances that may receive new work, ordered by id: those that are ALIVE or SLOW,
     * and this instance unless it is leaving.
     */
    public List<InstanceRef> live() {
        return table.live();
    }

    /** Returns the published instance list read last. */
    public InstanceList list() {
        return list;
    }

    /** Returns this instance. */
    public InstanceRef self() {
        return self;
    }

    /** Returns whether this instance has announced its planned shutdown. */
    public boolean leaving() {
        return table.leaving();
    }

    /** Returns whether a later process uses this instance's id, so that this process must end. */
    public boolean superseded() {
        return table.superseded();
    }

    /**
     * Returns whether the instance list was confirmed since the monotonic time {@code nanos},
     * either by a read or by the ack of a peer, probed since then, that had no newer version.
     */
    public boolean listConfirmedSince(long nanos) {
        return listConfirmedAtNanos != NEVER && listConfirmedAtNanos - nanos >= 0;
    }
}
