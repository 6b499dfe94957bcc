package org.bronzehill.replay.harness;

import java.util.random.RandomGenerator;

/** Extra delays of messages, orders and requests while links are slow. */
final class Delays {

    private final VirtualTime time;
    private final RandomGenerator random;
    private double share;
    private long maxNanos;
    private long until;

    Delays(VirtualTime time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    void slow(double nextShare, long maxMs, long untilNanos) {
        share = nextShare;
        maxNanos = maxMs * VirtualTime.MS;
        until = untilNanos;
    }

    /** Returns the extra delay of the next message. */
    long extraNanos() {
        if (time.now() >= until || random.nextDouble() >= share) {
            return 0;
        }
        return random.nextLong(maxNanos);
    }
}
