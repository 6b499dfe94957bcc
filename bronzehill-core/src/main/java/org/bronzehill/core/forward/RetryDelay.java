package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.bronzehill.core.time.TimeSource;

/** Computes the delay after which a refused caller should retry. */
final class RetryDelay {

    /** Largest part of a caller's remaining time that is returned as its retry delay. */
    private static final double MAX_FRACTION = 0.3;

    /** Shortest retry delay before it is limited by the time left and reduced randomly. */
    private static final Duration MIN_DELAY = Duration.ofMillis(50);

    private final TimeSource time;
    private final RandomGenerator random;

    RetryDelay(TimeSource time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    /**
     * Returns the delay; empty if the caller has no time left for a retry.
     *
     * @param expectedWait expected time until the request could be served
     */
    Option<Duration> after(ForwardRequest request, Duration expectedWait) {
        long left = request.deadlineNanos() - time.nanoTime();
        if (left <= 0) {
            return Option.none();
        }
        long max = (long) (left * MAX_FRACTION);
        long wait = Math.min(max, Math.max(expectedWait.toNanos(), MIN_DELAY.toNanos()));
        // Spreads the retries, so that they do not arrive as another burst.
        return Option.of(Duration.ofNanos((long) (wait * (0.5 + random.nextDouble() / 2))));
    }
}
