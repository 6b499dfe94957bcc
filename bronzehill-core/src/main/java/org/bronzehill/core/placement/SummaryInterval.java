package org.bronzehill.core.placement;

import java.time.Duration;

/**
 * Computes how often summaries are sent. Every instance of a region receives the summaries of all
 * its engines, so the interval grows with the number of engines to bound the traffic per instance.
 */
public final class SummaryInterval {

    private static final Duration MIN_COUNT_UPDATE_INTERVAL = Duration.ofMillis(100);
    private static final Duration MIN_REPEAT_INTERVAL = Duration.ofSeconds(1);

    /** With 300 engines in a region, counts are sent every 4.5 s. */
    private static final Duration INTERVAL_PER_ENGINE = Duration.ofMillis(15);

    /** Up to this number of engines, the traffic is negligible and every count is sent. */
    private static final int MAX_ENGINES_WITH_RUNNING_COUNTS = 32;

    private SummaryInterval() {}

    /** Returns the minimum time between two summaries that differ only in request counts. */
    public static Duration betweenCountUpdates(int engines) {
        return longer(MIN_COUNT_UPDATE_INTERVAL, INTERVAL_PER_ENGINE.multipliedBy(engines));
    }

    /** Returns the time after which a summary is repeated although nothing has changed. */
    public static Duration betweenRepeats(int engines) {
        return longer(MIN_REPEAT_INTERVAL, INTERVAL_PER_ENGINE.multipliedBy(engines));
    }

    /** Returns whether deltas leave out the running requests of individual adapters. */
    public static boolean omitsRunningCounts(int engines) {
        return engines > MAX_ENGINES_WITH_RUNNING_COUNTS;
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
