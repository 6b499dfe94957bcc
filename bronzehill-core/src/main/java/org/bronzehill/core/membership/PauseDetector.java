package org.bronzehill.core.membership;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/** Detects process pauses from the time between two calls. */
public final class PauseDetector {

    private final TimeSource time;
    private final long limitNanos;
    private long lastCallNanos;

    private PauseDetector(TimeSource time, Duration limit) {
        this.time = time;
        this.limitNanos = limit.toNanos();
        this.lastCallNanos = time.nanoTime();
    }

    /** Creates a detector that reports gaps above {@code limit}. */
    public static PauseDetector create(TimeSource time, Duration limit) {
        return new PauseDetector(time, limit);
    }

    /** Returns whether the time since the previous call exceeds the limit. */
    public boolean pausedSinceLastCall() {
        long now = time.nanoTime();
        boolean paused = now - lastCallNanos > limitNanos;
        lastCallNanos = now;
        return paused;
    }
}
