package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * Rate at which the upstreams of one service begin to answer requests of this instance, as a
 * decaying average. Completed requests would tell the same later: streams last for seconds, in
 * which an instance that has just started would know nothing.
 */
final class ServiceRate {

    /**
     * Time constant of the decay: long enough that tens of streams begin in it, short enough that
     * the rate falls soon after upstreams have crashed.
     */
    private static final double DECAY_TIME_NANOS = Duration.ofSeconds(3).toNanos();

    /** Shortest time that the rate is taken over, so that single answers do not dominate it. */
    private static final double MIN_TIME_NANOS = Duration.ofMillis(500).toNanos();

    private final TimeSource time;
    private final long since;
    private double begun;
    private long updatedAt;

    ServiceRate(TimeSource time) {
        this.time = time;
        this.since = time.nanoTime();
        this.updatedAt = since;
    }

    void onAnswerBegun() {
        decay();
        begun++;
    }

    /** Returns the number of answers that begin per second. */
    double perSecond() {
        decay();
        double weighted =
                DECAY_TIME_NANOS * (1 - Math.exp(-(updatedAt - since) / DECAY_TIME_NANOS));
        return begun / Math.max(weighted, MIN_TIME_NANOS) * Duration.ofSeconds(1).toNanos();
    }

    private void decay() {
        long now = time.nanoTime();
        begun *= Math.exp(-(now - updatedAt) / DECAY_TIME_NANOS);
        updatedAt = now;
    }
}
