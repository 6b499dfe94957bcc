package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.bronzehill.core.time.TimeSource;

/**
 * Limit on the requests that an upstream may have to reject, as it has stated. An upstream that
 * rejects more of them fails, so all instances together must stay below it: each one leaves the
 * upstream alone for so long after a rejection that its part of the limit is kept.
 */
final class RejectionLimit {

    /** Time for which a statement holds; an upstream repeats it in all of its answers. */
    private static final Duration VALIDITY = Duration.ofSeconds(3);

    /**
     * Part of the limit that is used on average. The rest covers requests that are on their way,
     * and rejections that coincide.
     */
    private static final double USED_FRACTION = 0.3;

    /** Longest pause after a rejection. */
    private static final Duration MAX_PAUSE = Duration.ofSeconds(30);

    private final TimeSource time;
    private int perSecond;
    private int instances = 1;
    private long validUntil;

    RejectionLimit(TimeSource time) {
        this.time = time;
        this.validUntil = time.nanoTime();
    }

    /**
     * Records the limit that an answer states.
     *
     * @param liveInstances number of instances that share it
     */
    void onStated(int rejectionsPerSecond, int liveInstances) {
        perSecond = rejectionsPerSecond;
        instances = Math.max(1, liveInstances);
        validUntil = time.nanoTime() + VALIDITY.toNanos();
    }

    /** Returns whether the upstream has stated a limit lately. */
    boolean isInForce() {
        return validUntil - time.nanoTime() > 0;
    }

    /** Returns how many requests an instance may have at an upstream with some slots. */
    int placesForEach(int slots) {
        return Math.max(1, slots / instances);
    }

    /**
     * Returns how long an instance leaves the upstream alone after a rejection. A random part keeps
     * instances that were rejected together from coming back together.
     */
    Duration pauseAfterRejection(RandomGenerator random) {
        double mean = instances / Math.max(USED_FRACTION, perSecond * USED_FRACTION);
        double seconds = mean * (0.5 + random.nextDouble());
        Duration pause = Duration.ofMillis((long) (seconds * 1000));
        return pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
    }
}
