package org.bronzehill.core.membership;

/** State of an entry instance in the membership table. */
public enum PeerStatus {
    ALIVE,
    /** Acknowledges probes late, or only through other instances. */
    SLOW,
    /** Did not acknowledge a probe; becomes DEAD unless it refutes the suspicion. */
    SUSPECT,
    /** Announced its planned shutdown. */
    LEAVING,
    DEAD;

    /** Returns whether the instance may receive new work. */
    public boolean isLive() {
        return this == ALIVE || this == SLOW;
    }
}
