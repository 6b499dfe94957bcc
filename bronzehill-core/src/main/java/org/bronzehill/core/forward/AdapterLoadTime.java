package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Time that one engine takes to load an adapter, learned from its loads, and how many loads may run
 * at once.
 */
final class AdapterLoadTime {

    /** The first question comes a little before the usual end of a load. */
    private static final double FIRST_CHECK_FRACTION = 0.94;

    /** Part of the load time for an adapter that the engine held before and still has at hand. */
    static final double RELOAD_FRACTION = 0.15;

    /**
     * Load time, as a multiple of the shortest seen, above which fewer adapters are fetched at
     * once: the store is then shared by more loads than it serves at full speed, and finishing some
     * before others begin brings each of them earlier.
     */
    private static final double CONGESTION_THRESHOLD = 1.35;

    /** Weight of one load in the average load time. */
    private static final double AVERAGE_WEIGHT = 0.2;

    private final int maxLoads;
    private double averageMs;
    private double minMs;

    /**
     * @param assumed load time until one was measured
     * @param mostLoads largest number of loads at once
     */
    AdapterLoadTime(Duration initial, int maxLoads) {
        this.maxLoads = maxLoads;
        this.averageMs = initial.toMillis();
        this.minMs = averageMs;
    }

    /** Learns from a load; one that ended while its own order was on the way tells nothing. */
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
     * @param repeated whether the engine held the adapter before
     */
    Duration expected(boolean reload) {
        return Duration.ofNanos((long) (averageMs * (reload ? RELOAD_FRACTION : 1) * 1e6));
    }

    /** Returns the time from an order to the first question whether the load has ended. */
    Duration firstCheckDelay(boolean reload) {
        return Duration.ofNanos((long) (expected(reload).toNanos() * FIRST_CHECK_FRACTION));
    }

    /** Returns how many loads may run at once. */
    int maxParallelLoads() {
        double congestion = averageMs / Math.max(1, minMs);
        return congestion <= CONGESTION_THRESHOLD
                ? maxLoads
                : Math.max(1, (int) Math.floor(maxLoads * CONGESTION_THRESHOLD / congestion));
    }
}
