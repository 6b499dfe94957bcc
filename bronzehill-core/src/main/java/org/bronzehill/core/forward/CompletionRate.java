package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/** Rate at which requests of one service end at this instance, as a decaying average. */
final class CompletionRate {

    /** Memory of the average: long enough for tens of streams, short enough to follow a crash. */
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

    /** Returns the requests that end in a second. */
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
