package org.bronzehill.core.membership;

import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.protocol.generated.MemberUpdate;

/** Mutable state of one other instance in the member table. */
final class MemberRow {

    /** Health of the process according to probes and gossip, apart from its announcements. */
    enum Health {
        UP,
        SUSPECT,
        DEAD
    }

    private InstanceRef ref;

    /**
     * Orders the updates about one incarnation. The instance increases it to refute a suspicion and
     * when it announces its shutdown.
     */
    private int refutationNumber;

    private Health health = Health.UP;
    private long healthSinceNanos;
    private boolean leaving;
    private boolean listed;
    private boolean listedLeaving;
    private boolean slow;
    private int timelyAcks;

    MemberRow(InstanceRef ref) {
        this.ref = ref;
    }

    InstanceRef ref() {
        return ref;
    }

    int refutationNumber() {
        return refutationNumber;
    }

    Health health() {
        return health;
    }

    /**
     * Returns the monotonic time at which the health was last set by {@link #setHealth}. For a
     * suspicion, pauses of this process are added. A refutation or a new incarnation sets the
     * health back to {@code UP} without changing this time.
     */
    long healthSinceNanos() {
        return healthSinceNanos;
    }

    void setHealthSince(long now) {
        healthSinceNanos = now;
    }

    boolean listed() {
        return listed;
    }

    boolean slow() {
        return slow;
    }

    PeerStatus status() {
        if (health == Health.DEAD) {
            return PeerStatus.DEAD;
        }
        if (health == Health.SUSPECT) {
            return PeerStatus.SUSPECT;
        }
        if (leaving || listedLeaving) {
            return PeerStatus.LEAVING;
        }
        return slow ? PeerStatus.SLOW : PeerStatus.ALIVE;
    }

    void setListed(InstanceRef publishedRef, boolean isLeaving) {
        listed = true;
        listedLeaving = isLeaving;
        if (ref.incarnation() == 0) {
            ref = publishedRef;
        }
    }

    void setUnlisted() {
        listed = false;
        listedLeaving = false;
    }

    /** Replaces the row's incarnation and discards the state of the previous one. */
    void replace(InstanceRef next, int newRefutationNumber) {
        ref = next;
        refutationNumber = newRefutationNumber;
        health = Health.UP;
        leaving = false;
        slow = false;
        timelyAcks = 0;
    }

    /** Adds what was not known of the same incarnation. */
    void complete(InstanceRef known) {
        ref = known;
    }

    void applyRefutation(int newRefutationNumber) {
        refutationNumber = newRefutationNumber;
        health = Health.UP;
    }

    void setHealth(Health next, long now) {
        health = next;
        healthSinceNanos = now;
    }

    /** Marks the incarnation as leaving; returns whether it was not marked before. */
    boolean markLeaving() {
        boolean changed = !leaving;
        leaving = true;
        return changed;
    }

    /** Counts a timely ack; returns whether the instance stopped being slow. */
    boolean recordTimelyAck(int needed) {
        timelyAcks++;
        if (slow && timelyAcks >= needed) {
            slow = false;
            return true;
        }
        return false;
    }

    /** Records a late or indirect ack; returns whether the instance became slow. */
    boolean recordLateAck() {
        boolean changed = !slow;
        timelyAcks = 0;
        slow = true;
        return changed;
    }

    MemberUpdate toUpdate() {
        return update(ref, refutationNumber, gossipStatus()).build();
    }

    /**
     * Returns the status for gossip. SLOW describes a single network path, and a LEAVING state from
     * the list is published there, so both are sent as ALIVE.
     */
    private PeerStatus gossipStatus() {
        PeerStatus s = status();
        if (s == PeerStatus.SLOW) {
            return PeerStatus.ALIVE;
        }
        return s == PeerStatus.LEAVING && !leaving ? PeerStatus.ALIVE : s;
    }

    static MemberUpdate.Builder update(InstanceRef ref, int refutationNumber, PeerStatus status) {
        return MemberUpdate.newBuilder()
                .setId(ref.id())
                .setIncarnation(ref.incarnation())
                .setHost(ref.host())
                .setPort(ref.port())
                .setDataCentre(ref.dataCentre())
                .setRegion(ref.region())
                .setLinkMbps(ref.linkMbps())
                .setRefutation(refutationNumber)
                .setStatus(toWire(status));
    }

    private static org.bronzehill.protocol.generated.PeerStatus toWire(PeerStatus status) {
        return switch (status) {
            case ALIVE, SLOW -> org.bronzehill.protocol.generated.PeerStatus.PEER_STATUS_ALIVE;
            case SUSPECT -> org.bronzehill.protocol.generated.PeerStatus.PEER_STATUS_SUSPECT;
            case LEAVING -> org.bronzehill.protocol.generated.PeerStatus.PEER_STATUS_LEAVING;
            case DEAD -> org.bronzehill.protocol.generated.PeerStatus.PEER_STATUS_DEAD;
        };
    }
}
