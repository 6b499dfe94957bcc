package org.bronzehill.core.forward;

/** Adapter that occupies one of an engine's adapter slots, as known to the claim holder. */
final class AdapterSlot {

    int version;
    Phase phase;

    /** Monotonic time of the last change of phase that this instance has caused or seen. */
    long changedAt;

    /** Monotonic time of the last load, or of the last time that a use began or ended. */
    long usedAt;

    /** Monotonic time of the next check whether the load has ended. */
    long nextCheckAt;

    /** Whether the engine had held the adapter recently when the load was ordered. */
    boolean reload;

    /** Whether the known number of orders that the engine has accepted includes the last order. */
    boolean counted;

    /** Whether the last order had no answer, so that the engine may have accepted it. */
    boolean unanswered;

    enum Phase {
        LOADING,
        RESIDENT,
        UNLOADING
    }

    AdapterSlot(int version, Phase phase, long now) {
        this.version = version;
        this.phase = phase;
        this.changedAt = now;
        this.usedAt = now;
        this.nextCheckAt = now;
    }
}
