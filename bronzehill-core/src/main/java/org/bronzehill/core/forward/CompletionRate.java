package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/** Rate at which requests of one service complete at this instance, as a decaying average. */
final class CompletionRate {

    /**
     * Time constant of the decay: long enough that tens of streams complete in it, short enough
     * that the rate falls soon after upstreams have crashed.
     */
    private static final double DECAY_TIME_NANOS = Duration.ofSeconds(3).toNanos();

    private final TimeSource time;
    private double completions;
    private long updatedAt;

    CompletionRate(TimeSource time) {
        this.time = time;
        this.updatedAt = time.nanoTime();
    }

    void onCompleted() {
        decay();
        completions++;
    }

    /** Returns the number of completed requests per second. */
    double perSecond() {
        decay();
        return completions / (DECAY_TIME_NANOS / Duration.ofSeconds(1).toNanos());
    }

    private void decay() {
        long now = time.nanoTime();
        completions *= Math.exp(-(now - updatedAt) / DECAY_TIME_NANOS);
        updatedAt = now;
    }
}
