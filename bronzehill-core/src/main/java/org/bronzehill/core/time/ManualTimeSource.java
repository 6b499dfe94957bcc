package org.bronzehill.core.time;

import java.time.Duration;
import java.time.Instant;

/** Time source that is advanced explicitly; used by replay and by tests on virtual time. */
public final class ManualTimeSource implements TimeSource {

    private Instant instant;
    private long nanos;

    private ManualTimeSource(Instant start) {
        this.instant = start;
    }

    /**
     * Creates a time source whose wall clock shows {@code start} and whose monotonic clock shows 0.
     */
    public static ManualTimeSource startingAt(Instant start) {
        return new ManualTimeSource(start);
    }

    /** Advances both clocks. */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("step must not be negative: " + step);
        }
        instant = instant.plus(step);
        nanos += step.toNanos();
    }

    @Override
    public Instant instant() {
        return instant;
    }

    @Override
    public long nanoTime() {
        return nanos;
    }
}
