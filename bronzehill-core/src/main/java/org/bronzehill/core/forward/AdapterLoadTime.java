package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Time that one engine takes to load an adapter, learned from its loads, and how many loads may run
 * at once.
 */
final class AdapterLoadTime {

    /** The first question comes a little before the usual end of a load. */
    private static final double FIRST_CHECK = 0.94;

    /** Part of the load time for an adapter that the engine held before and still has at hand. */
    static final double REPEATED_LOAD = 0.15;

    /**
     * Load time, as a multiple of the shortest seen, above which fewer adapters are fetched at
     * once: the store is then shared by more loads than it serves at full speed, and finishing some
     * before others begin brings each of them earlier.
     */
    private static final double CONGESTED = 1.35;

    /** Weight of one load in the average load time. */
    private static final double WEIGHT = 0.2;

    private final int mostLoads;
    private double averageMs;
    private double shortestMs;

    /**
     * @param assumed load time until one was measured
     * @param mostLoads largest number of loads at once
     */
    AdapterLoadTime(Duration assumed, int mostLoads) {
        this.mostLoads = mostLoads;
        this.averageMs = assumed.toMillis();
        this.shortestMs = averageMs;
    }

    /** Learns from a load; one that ended while its own order was on the way tells nothing. */
    void onEnded(Duration took, boolean repeated) {
        double ms = took.toNanos() / 1e6;
        if (!repeated && ms > averageMs * REPEATED_LOAD) {
            shortestMs = Math.min(shortestMs, ms);
            averageMs = averageMs * (1 - WEIGHT) + Math.min(ms, 2 * averageMs) * WEIGHT;
        }
    }

    /**
     * Returns the expected time of a load.
     *
     * @param repeated whether the engine held the adapter before
     */
    Duration expected(boolean repeated) {
        return Duration.ofNanos((long) (averageMs * (repeated ? REPEATED_LOAD : 1) * 1e6));
    }

    /** Returns the time from an order to the first question whether the load has ended. */
    Duration firstCheck(boolean repeated) {
        return Duration.ofNanos((long) (expected(repeated).toNanos() * FIRST_CHECK));
    }

    /** Returns how many loads may run at once. */
    int parallelLoads() {
        double congestion = averageMs / Math.max(1, shortestMs);
        return congestion <= CONGESTED
                ? mostLoads
                : Math.max(1, (int) Math.floor(mostLoads * CONGESTED / congestion));
    }
}
