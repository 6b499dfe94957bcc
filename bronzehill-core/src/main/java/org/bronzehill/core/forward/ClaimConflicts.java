package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * Upstreams to which an instance that is not known here may be giving orders, and whether this
 * instance may claim them nevertheless.
 *
 * <p>Two instances that cannot reach each other learn of each other only from the upstream: it
 * refuses the lower of their fencing numbers, and its reports count the orders that it has
 * accepted. The instance that is refused stays away while the count grows without its doing, and
 * claims the upstream again once the count has stood still for the lease of an order. Whoever gives
 * orders therefore keeps the upstream, and an upstream whose holder has gone is without one for a
 * bounded time.
 *
 * <p>A claim that ends such a conflict stays contested for a while: if the upstream then accepts an
 * order of another instance, this instance withdraws again.
 */
final class ClaimConflicts {

    private static final Logger LOG = Logger.getLogger(ClaimConflicts.class);

    /** Time without orders of another instance after which a claim is no longer contested. */
    private static final Duration CONTESTED_TIME = Duration.ofMinutes(1);

    /**
     * Upper bound of the additional wait that keeps two instances from claiming the same upstream
     * at the same time, after both have seen its count stand still.
     */
    private static final Duration MAX_JITTER = Duration.ofMillis(1000);

    /**
     * Bound on doubling the wait at upstreams that do not count orders: 16 leases. Their reports do
     * not show whether another instance goes on giving orders.
     */
    private static final int MAX_DOUBLINGS = 4;

    /**
     * Reports with orders of another instance after which an uncontested claim is withdrawn. Single
     * orders may be late ones of a previous holder.
     */
    private static final int FOREIGN_REPORTS_TO_WITHDRAW = 3;

    /** Time within which these reports must have been read. */
    private static final Duration FOREIGN_REPORTS_WINDOW = Duration.ofSeconds(30);

    private final String instance;
    private final Duration orderLease;
    private final TimeSource time;
    private final Map<String, Conflict> conflicts = new HashMap<>();
    private final Map<String, ForeignReports> foreignReports = new HashMap<>();

    private static final class Conflict {
        private boolean claimed;

        /** Whether another instance is known to give orders; false before a first claim. */
        private boolean orders;

        /** Consecutive refusals of orders of this instance. */
        private int refusals;

        /**
         * When orders of another instance, a change of the count or the own claim were last seen.
         */
        private long changedAtNanos;

        private Option<Long> count = Option.none();
        private long startedAtMs;
    }

    private static final class ForeignReports {
        private int number;
        private long firstAtNanos;
    }

    /**
     * @param orderLease time that must pass between orders of two instances to one upstream
     */
    ClaimConflicts(String instance, Duration orderLease, TimeSource time) {
        this.instance = instance;
        this.orderLease = orderLease;
        this.time = time;
    }

    /** Begins to observe an upstream that nobody known here holds, before it is claimed. */
    void observe(String upstream) {
        conflicts.computeIfAbsent(upstream, u -> new Conflict());
    }

    /** Records that the upstream refused an order because another instance had a higher number. */
    void onRefused(String upstream) {
        Conflict c = conflicts.computeIfAbsent(upstream, u -> new Conflict());
        c.refusals++;
        onOrdersOfAnother(c);
    }

    /**
     * Records that the upstream has accepted orders of another instance although this instance
     * holds a claim.
     *
     * @return whether the claim must be withdrawn
     */
    boolean onForeignOrders(String upstream) {
        Conflict contested = conflicts.get(upstream);
        if (contested != null) {
            onOrdersOfAnother(contested);
            return true;
        }
        long now = time.nanoTime();
        ForeignReports reports = foreignReports.get(upstream);
        if (reports == null || now - reports.firstAtNanos >= FOREIGN_REPORTS_WINDOW.toNanos()) {
            reports = new ForeignReports();
            reports.firstAtNanos = now;
            foreignReports.put(upstream, reports);
        }
        if (++reports.number < FOREIGN_REPORTS_TO_WITHDRAW) {
            return false;
        }
        foreignReports.remove(upstream);
        onOrdersOfAnother(conflicts.computeIfAbsent(upstream, u -> new Conflict()));
        return true;
    }

    private void onOrdersOfAnother(Conflict c) {
        c.claimed = false;
        c.orders = true;
        c.count = Option.none();
        c.changedAtNanos = time.nanoTime();
    }

    /** Records that the upstream has accepted an order of this instance. */
    void onAccepted(String upstream) {
        Conflict c = conflicts.get(upstream);
        if (c != null) {
            c.refusals = 0;
        }
    }

    /**
     * Returns whether reports of the upstream must be read although this instance holds no claim.
     */
    boolean isObserved(String upstream) {
        Conflict c = conflicts.get(upstream);
        return c != null && !c.claimed;
    }

    /** Applies a report that was read while this instance holds no claim. */
    void onReport(String upstream, InventoryReport report) {
        Conflict c = conflicts.get(upstream);
        if (c == null || c.claimed || report.acceptedOrders().isEmpty()) {
            return;
        }
        if (!c.count.equals(report.acceptedOrders()) || c.startedAtMs != report.startedAtMs()) {
            if (c.count.isDefined()) {
                c.orders = true;
                LOG.infof(
                        "event=foreign-orders upstream=%s accepted-orders=%d before=%d",
                        upstream, report.acceptedOrders().get(), c.count.get());
            }
            c.count = report.acceptedOrders();
            c.startedAtMs = report.startedAtMs();
            c.changedAtNanos = time.nanoTime();
        }
    }

    /** Returns whether no orders of another instance are to be expected at the upstream. */
    boolean mayClaim(String upstream) {
        Conflict c = conflicts.get(upstream);
        if (c == null || !c.orders) {
            return true;
        }
        long wait = orderLease.toNanos();
        if (c.count.isEmpty()) {
            wait <<= Math.min(MAX_DOUBLINGS, Math.max(0, c.refusals - 1));
        }
        return time.nanoTime() - c.changedAtNanos >= wait + jitterNanos(upstream);
    }

    private long jitterNanos(String upstream) {
        int hash = (instance + "/" + upstream).hashCode();
        return Duration.ofMillis(Math.floorMod(hash, MAX_JITTER.toMillis())).toNanos();
    }

    /** Records that this instance has claimed the upstream. */
    void onClaimed(String upstream) {
        Conflict c = conflicts.get(upstream);
        if (c != null) {
            c.claimed = true;
            c.changedAtNanos = time.nanoTime();
        }
    }

    /**
     * Returns, once for each claim, the number of orders that the upstream had accepted when this
     * instance claimed it after a conflict; empty if it was not contested, or the upstream does not
     * state the number.
     */
    Option<Long> takeAcceptedAtClaim(String upstream) {
        Conflict c = conflicts.get(upstream);
        if (c == null) {
            return Option.none();
        }
        Option<Long> accepted = c.count;
        c.count = Option.none();
        return accepted;
    }

    /** Returns how often in a row the upstream has refused orders of this instance. */
    int refusals(String upstream) {
        return Option.of(conflicts.get(upstream)).map(c -> c.refusals).getOrElse(0);
    }

    /** Forgets what was observed of an upstream whose holder is known. */
    void onHolderKnown(String upstream) {
        conflicts.remove(upstream);
    }

    /** Forgets upstreams that are no longer listed, and claims that nobody contests. */
    void onTick(Set<String> upstreams) {
        long now = time.nanoTime();
        conflicts.keySet().retainAll(upstreams);
        foreignReports.keySet().retainAll(upstreams);
        conflicts
                .values()
                .removeIf(c -> c.claimed && now - c.changedAtNanos >= CONTESTED_TIME.toNanos());
    }
}
