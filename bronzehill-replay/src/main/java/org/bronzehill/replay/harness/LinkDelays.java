package org.bronzehill.replay.harness;

import java.util.random.RandomGenerator;

/** Extra delays of messages, orders and requests while links are slow. */
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

    /** Returns the extra delay of the next message. */
    long extraNanos() {
        if (time.now() >= slowUntilNanos || random.nextDouble() >= slowShare) {
            return 0;
        }
        return random.nextLong(maxNanos);
    }
}
