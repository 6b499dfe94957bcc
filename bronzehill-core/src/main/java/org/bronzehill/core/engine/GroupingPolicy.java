package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.config.Policy;
import org.bronzehill.config.Urgency;

/**
 * Holds back work that is not urgent until it fills a batch. The target and the longest hold grow
 * with the share of the batch weight in the policy; without batch weight nothing is held.
 */
final class GroupingPolicy {

    private static final long SHIFT_HOLD_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long OVERNIGHT_HOLD_NANOS = Duration.ofSeconds(60).toNanos();

    /** An overnight load waits at most this long for the store to become idle for sure. */
    private static final long STORE_IDLE_HOLD_NANOS = Duration.ofSeconds(2).toNanos();

    private GroupingPolicy() {}

    /** Returns how many requests make a group worth starting, at least 1. */
    static int target(Policy policy, int batch) {
        return Math.max(1, (int) Math.ceil(batch * batchShare(policy)));
    }

    /**
     * Returns whether a request whose adapter is resident is held back.
     *
     * @param active requests that run or could run at once
     */
    static boolean holds(QueuedRequest q, Policy policy, int batch, int active, long nowNanos) {
        long limit =
                switch (q.urgency()) {
                    case INTERACTIVE, PROMPT -> 0;
                    case SHIFT -> SHIFT_HOLD_NANOS;
                    case OVERNIGHT -> OVERNIGHT_HOLD_NANOS;
                };
        long hold = (long) (limit * batchShare(policy));
        return hold > 0
                && active < target(policy, batch)
                && nowNanos - q.arrivedNanos() < hold
                && !nearDeadline(q, nowNanos);
    }

    /** Returns whether the load of an adapter for which only overnight requests wait is due. */
    static boolean loadDue(
            AdapterState state, Policy policy, int batch, boolean storeIdle, long nowNanos) {
        if (state.waiting().size() >= target(policy, batch)) {
            return true;
        }
        for (QueuedRequest q : state.waiting()) {
            if (q.urgency() != Urgency.OVERNIGHT
                    || isOld(q, nowNanos)
                    || storeIdle && nowNanos - q.arrivedNanos() >= STORE_IDLE_HOLD_NANOS) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a tenth of the request's time has passed. A longer wait for an idle store
     * would let the loads of a night become due at the same time.
     */
    private static boolean isOld(QueuedRequest q, long nowNanos) {
        return nowNanos - q.arrivedNanos() >= (q.deadlineNanos() - q.arrivedNanos()) / 10;
    }

    /** Returns whether three quarters of the request's time have passed. */
    private static boolean nearDeadline(QueuedRequest q, long nowNanos) {
        long total = q.deadlineNanos() - q.arrivedNanos();
        return q.deadlineNanos() - nowNanos < total / 4;
    }

    private static double batchShare(Policy policy) {
        double sum = policy.loadStallWeight() + policy.batchWeight();
        return sum <= 0 ? 0 : policy.batchWeight() / sum;
    }
}
