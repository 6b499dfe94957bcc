package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/** Rate at which requests of one service end at this instance, as a decaying average. */
final class CompletionRate {

    /** Memory of the average: long enough for tens of streams, short enough to follow a crash. */
    private static final double MEMORY_NANOS = Duration.ofSeconds(3).toNanos();

    private final TimeSource time;
    private double ended;
    private long at;

    CompletionRate(TimeSource time) {
        this.time = time;
        this.at = time.nanoTime();
    }

    void onEnded() {
        decay();
        ended++;
    }

    /** Returns the requests that end in a second. */
    double perSecond() {
        decay();
        return ended / (MEMORY_NANOS / Duration.ofSeconds(1).toNanos());
    }

    private void decay() {
        long now = time.nanoTime();
        ended *= Math.exp(-(now - at) / MEMORY_NANOS);
        at = now;
    }
}
