package org.bronzehill.core.membership;

/** State of an entry instance in the membership table. */
public enum PeerStatus {
    ALIVE,
    /** Answers late, or only through other instances. */
    SLOW,
    /** Did not answer; becomes DEAD unless it refutes the suspicion. */
    SUSPECT,
    /** Announced its planned stop. */
    LEAVING,
    DEAD;

    /** Returns whether the instance may be given new work. */
    public boolean isLive() {
        return this == ALIVE || this == SLOW;
    }
}
