package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * What a new claim holder may assume of an engine after it has taken it over. The previous holder,
 * which may be alive and only partitioned, can have sent orders that no report shows yet.
 *
 * <p>An engine that counts the orders it has accepted states the number in its reports. The first
 * orders name this number, and the engine refuses them if it has accepted others meanwhile. Once it
 * has accepted one, its fencing number excludes the previous holder, and the report that the order
 * relied on is known to be complete.
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
    private boolean earlierOrdersKnown;
    private Option<Long> reportedOrders = Option.none();

    EngineTakeover(TimeSource time, int maxParallelLoads) {
        this.time = time;
        this.maxParallelLoads = maxParallelLoads;
        this.takenOverAt = time.nanoTime();
    }

    void onReport(InventoryReport report) {
        reportedOrders = report.acceptedOrders();
    }

    /**
     * Returns the number of orders that the engine must have accepted before the next one; empty if
     * the earlier orders are known or the engine does not count them.
     */
    Option<Long> expectedOrders() {
        return earlierOrdersKnown ? Option.none() : reportedOrders;
    }

    /** Returns whether the engine refused the order because it has accepted others meanwhile. */
    boolean onReply(Order order, OrderReply reply) {
        if (order.expectedOrders().isEmpty()) {
            return false;
        }
        earlierOrdersKnown |= reply == OrderReply.ACCEPTED || reply == OrderReply.ALREADY;
        if (reply == OrderReply.BUSY) {
            reportedOrders = Option.none();
        }
        return reply == OrderReply.BUSY;
    }

    /** Returns the number of adapter slots kept free for what the reports might not show yet. */
    int reservedSlots() {
        if (hasPassed(REPORT_LAG)) {
            return 0;
        }
        // An adapter that waits to be unloaded occupies a slot, but reports no longer list it.
        return earlierOrdersKnown || reportedOrders.isDefined() ? 1 : 2 * maxParallelLoads;
    }

    /** Returns whether the other instances have reported which adapters they use. */
    boolean areUsesKnown() {
        return hasPassed(USES_LAG);
    }

    private boolean hasPassed(Duration limit) {
        return time.nanoTime() - takenOverAt >= limit.toNanos();
    }
}
