package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Estimates the load time of adapters at one engine from its completed loads, and limits the number
 * of parallel loads.
 */
final class AdapterLoadTime {

    /**
     * Part of the expected load time after which a load is first checked: a little before its usual
     * end.
     */
    private static final double FIRST_CHECK_FRACTION = 0.94;

    /**
     * Load time of an adapter of which the engine still has a local copy, as part of the time of a
     * load from the weight store.
     */
    static final double RELOAD_FRACTION = 0.15;

    /**
     * Average load time, as a multiple of the shortest one, above which fewer loads run in
     * parallel. The weight store is then shared by more loads than it serves at full speed; with
     * fewer loads at a time, each of them ends earlier.
     */
    private static final double CONGESTION_THRESHOLD = 1.35;

    /** Weight of one load in the moving average. */
    private static final double AVERAGE_WEIGHT = 0.2;

    private final int maxLoads;
    private double averageMs;
    private double minMs;

    /**
     * @param initial load time assumed until a load has been measured
     * @param maxLoads largest number of parallel loads
     */
    AdapterLoadTime(Duration initial, int maxLoads) {
        this.maxLoads = maxLoads;
        this.averageMs = initial.toMillis();
        this.minMs = averageMs;
    }

    /**
     * Updates the estimate from a completed load. Reloads are ignored, as are loads so short that
     * the engine must already have held or been loading the adapter when the order arrived.
     */
    void onLoadCompleted(Duration duration, boolean reload) {
        double ms = duration.toNanos() / 1e6;
        if (!reload && ms > averageMs * RELOAD_FRACTION) {
            minMs = Math.min(minMs, ms);
            averageMs =
                    averageMs * (1 - AVERAGE_WEIGHT) + Math.min(ms, 2 * averageMs) * AVERAGE_WEIGHT;
        }
    }

    /**
     * Returns the expected time of a load.
     *
     * @param reload whether the engine held the adapter before
     */
    Duration expected(boolean reload) {
        return Duration.ofNanos((long) (averageMs * (reload ? RELOAD_FRACTION : 1) * 1e6));
    }

    /** Returns the time from an order to the first check whether the load has ended. */
    Duration firstCheckDelay(boolean reload) {
        return Duration.ofNanos((long) (expected(reload).toNanos() * FIRST_CHECK_FRACTION));
    }

    /** Returns the number of loads that may run in parallel. */
    int maxParallelLoads() {
        double congestion = averageMs / Math.max(1, minMs);
        return congestion <= CONGESTION_THRESHOLD
                ? maxLoads
                : Math.max(1, (int) Math.floor(maxLoads * CONGESTION_THRESHOLD / congestion));
    }
}
