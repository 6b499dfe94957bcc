package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * Number of orders that an engine has accepted, as known to its claim holder.
 *
 * <p>The holder knows what an engine holds if it knows all orders that the engine has accepted.
 * Each order therefore names this number, and the engine refuses the order if it has accepted
 * another number: an order of another instance, an order whose reply was lost, or one that was
 * given up and has arrived late. The holder then sends no more orders until a report states the
 * number anew. A report that is older than its number says is recognized by the next refusal.
 *
 * <p>Engines that do not state the number accept all orders.
 */
final class AcceptedOrders {

    /**
     * Time after an order without an answer during which further accepted orders may be this one.
     */
    private static final Duration UNANSWERED_TIME = Duration.ofSeconds(5);

    private final TimeSource time;
    private boolean stated;
    private Option<Long> count = Option.none();

    /** Number that the orders of this instance explain; empty if some of them are uncertain. */
    private Option<Long> explained = Option.none();

    private Option<Long> lastUnansweredAt = Option.none();
    private boolean foreign;

    AcceptedOrders(TimeSource time) {
        this.time = time;
    }

    /** Sets the number that was known before this instance sent any order. */
    void startAt(long known) {
        explained = Option.of(known);
    }

    /** What a report says about the adapters that an engine holds. */
    enum ReportState {
        /** The engine does not state the number of its orders, so the age is unknown. */
        UNKNOWN,
        /** The engine has accepted orders since. */
        OUTDATED,
        /** The report shows the result of exactly the known orders. */
        CURRENT,
        /**
         * The engine has accepted orders that were not known, and the report shows their result.
         */
        NEWS
    }

    /**
     * Applies the number of a report.
     *
     * @param orderInFlight whether an order waits for its reply, so that the report may include it
     */
    ReportState onReport(Option<Long> reported, boolean orderInFlight) {
        stated |= reported.isDefined();
        foreign = false;
        if (reported.isEmpty()) {
            return stated ? ReportState.OUTDATED : ReportState.UNKNOWN;
        }
        if (orderInFlight || count.exists(n -> reported.get() < n)) {
            return ReportState.OUTDATED;
        }
        boolean current = count.equals(reported);
        boolean certain =
                lastUnansweredAt.forAll(t -> time.nanoTime() - t >= UNANSWERED_TIME.toNanos());
        foreign = certain && explained.exists(n -> reported.get() > n);
        explained = reported;
        count = reported;
        return current ? ReportState.CURRENT : ReportState.NEWS;
    }

    /** Records that the engine has accepted an order of this instance. */
    void onAccepted() {
        count = count.map(n -> n + 1);
        explained = explained.map(n -> n + 1);
    }

    /** Records that the number is not known any more, because of an order of this instance. */
    void onMismatch() {
        count = Option.none();
        explained = Option.none();
    }

    /** Records that an order is sent that {@link #onAccepted} will not count. */
    void onUncountedOrder() {
        explained = Option.none();
    }

    /** Records that the engine has refused an order, perhaps because of orders of others. */
    void onRefused() {
        count = Option.none();
    }

    /** Records that no answer to an order came, so that it may still be accepted. */
    void onUnanswered() {
        lastUnansweredAt = Option.of(time.nanoTime());
    }

    /**
     * Returns whether the last report counts orders that this instance has not sent, so that
     * another one has given them.
     */
    boolean hasForeign() {
        return foreign;
    }

    /** Returns whether the number must be read from a report before the next order. */
    boolean isUnknown() {
        return stated && count.isEmpty();
    }

    /** Returns the number for the next order; empty if the engine does not state it. */
    Option<Long> expected() {
        return count;
    }
}
