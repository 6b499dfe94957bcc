package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * What a new claim holder may assume of an engine shortly after it has taken it over. The previous
 * holder, which may be alive and only partitioned, can have sent orders that no report shows yet.
 */
final class EngineTakeover {

    /**
     * Time after a takeover during which reports might not yet show loads ordered by the previous
     * claim holder: the lag of a report and the interval between two reports.
     */
    static final Duration REPORT_LAG = Duration.ofMillis(1500);

    /**
     * Time after a takeover during which the other instances might not yet have reported which
     * adapters they use at the engine.
     */
    private static final Duration USES_LAG = Duration.ofMillis(500);

    private final TimeSource time;
    private final int maxParallelLoads;
    private final long takenOverAt;

    EngineTakeover(TimeSource time, int maxParallelLoads) {
        this.time = time;
        this.maxParallelLoads = maxParallelLoads;
        this.takenOverAt = time.nanoTime();
    }

    /**
     * Returns the number of adapter slots kept free for what the reports might not show yet.
     *
     * @param ordersCounted whether the engine refuses orders after others that are not known
     */
    int reservedSlots(boolean ordersCounted) {
        if (hasPassed(REPORT_LAG)) {
            return 0;
        }
        // An adapter that waits to be unloaded occupies a slot, but reports no longer list it.
        return ordersCounted ? 1 : 2 * maxParallelLoads;
    }

    /** Returns whether the other instances have reported which adapters they use. */
    boolean areUsesKnown() {
        return hasPassed(USES_LAG);
    }

    private boolean hasPassed(Duration limit) {
        return time.nanoTime() - takenOverAt >= limit.toNanos();
    }
}
