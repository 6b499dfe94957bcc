package org.bronzehill.replay.harness;

import java.util.random.RandomGenerator;

/** Random extra delays of peer messages and upstream requests while links are slow. */
final class LinkDelays {

    private final VirtualTime time;
    private final RandomGenerator random;
    private double slowShare;
    private long maxNanos;
    private long slowUntilNanos;

    LinkDelays(VirtualTime time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    void activate(double share, long maxMs, long endNanos) {
        slowShare = share;
        maxNanos = maxMs * VirtualTime.NANOS_PER_MS;
        slowUntilNanos = endNanos;
    }

    /** Returns the extra delay of the next message or request; 0 if it is not delayed. */
    long extraNanos() {
        if (time.now() >= slowUntilNanos || random.nextDouble() >= slowShare) {
            return 0;
        }
        return random.nextLong(maxNanos);
    }
}
