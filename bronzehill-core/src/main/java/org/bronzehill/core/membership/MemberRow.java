package org.bronzehill.core.membership;

import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.protocol.generated.MemberUpdate;

/** Mutable row of the member table for one other instance. */
final class MemberRow {

    /** What the fleet believes about the process, apart from its own announcements. */
    enum Health {
        UP,
        SUSPECT,
        DEAD
    }

    private InstanceRef ref;
    private int refutation;
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

    int refutation() {
        return refutation;
    }

    Health health() {
        return health;
    }

    /** Returns the monotonic time of the last change of the health. */
    long healthSinceNanos() {
        return healthSinceNanos;
    }

    void restartTimer(long now) {
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

    /** Starts a new incarnation, which has none of the history of the one before. */
    void replace(InstanceRef next, int newRefutation) {
        ref = next;
        refutation = newRefutation;
        health = Health.UP;
        leaving = false;
        slow = false;
        timelyAcks = 0;
    }

    void applyRefutation(int newRefutation) {
        refutation = newRefutation;
        health = Health.UP;
    }

    void setHealth(Health next, long now) {
        health = next;
        healthSinceNanos = now;
    }

    /** Marks the planned stop of the incarnation; returns whether that is new. */
    boolean markLeaving() {
        boolean changed = !leaving;
        leaving = true;
        return changed;
    }

    /** Counts an ack in time; returns whether the instance stopped being slow. */
    boolean recordTimelyAck(int needed) {
        timelyAcks++;
        if (slow && timelyAcks >= needed) {
            slow = false;
            return true;
        }
        return false;
    }

    /** Notes an ack that was late or indirect; returns whether the instance became slow. */
    boolean recordLateAck() {
        boolean changed = !slow;
        timelyAcks = 0;
        slow = true;
        return changed;
    }

    MemberUpdate toUpdate() {
        return update(ref, refutation, gossipStatus()).build();
    }

    /** SLOW is one instance's view of one path and is not told to others. */
    private PeerStatus gossipStatus() {
        PeerStatus s = status();
        if (s == PeerStatus.SLOW) {
            return PeerStatus.ALIVE;
        }
        return s == PeerStatus.LEAVING && !leaving ? PeerStatus.ALIVE : s;
    }

    static MemberUpdate.Builder update(InstanceRef ref, int refutation, PeerStatus status) {
        return MemberUpdate.newBuilder()
                .setId(ref.id())
                .setIncarnation(ref.incarnation())
                .setHost(ref.host())
                .setPort(ref.port())
                .setDataCentre(ref.dataCentre())
                .setRegion(ref.region())
                .setRefutation(refutation)
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
