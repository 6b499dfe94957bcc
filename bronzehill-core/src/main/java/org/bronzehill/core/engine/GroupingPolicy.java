package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.config.Policy;
import org.bronzehill.config.Urgency;

/**
 * Delays work that is not urgent until enough requests of the engine run or are ready to form a
 * group of the target size. The target size and the maximum delay are proportional to {@code
 * batchWeight / (loadStallWeight + batchWeight)} of the policy; without batch weight nothing is
 * delayed.
 */
final class GroupingPolicy {

    private static final long MAX_SHIFT_DELAY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long MAX_OVERNIGHT_DELAY_NANOS = Duration.ofSeconds(60).toNanos();

    /**
     * Minimum wait before an overnight load is due on an idle store; a shorter wait could mistake a
     * brief pause for idleness.
     */
    private static final long STORE_IDLE_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

    private GroupingPolicy() {}

    /** Returns the number of requests that make a group worth starting; at least 1. */
    static int targetGroupSize(Policy policy, int batch) {
        return Math.max(1, (int) Math.ceil(batch * batchShare(policy)));
    }

    /**
     * Returns whether to delay a request whose adapter is resident.
     *
     * @param active number of requests that run or are ready to run
     */
    static boolean shouldDelay(
            AdmittedRequest q, Policy policy, int batch, int active, long nowNanos) {
        long limit =
                switch (q.urgency()) {
                    case INTERACTIVE, PROMPT -> 0;
                    case SHIFT -> MAX_SHIFT_DELAY_NANOS;
                    case OVERNIGHT -> MAX_OVERNIGHT_DELAY_NANOS;
                };
        long delay = (long) (limit * batchShare(policy));
        return delay > 0
                && active < targetGroupSize(policy, batch)
                && nowNanos - q.arrivedNanos() < delay
                && !nearDeadline(q, nowNanos);
    }

    /**
     * Returns whether the load of an adapter is due. Only loads that are needed by overnight
     * requests alone are delayed. If load stalls weigh more than batch efficiency, every load is
     * due: the store budget already orders overnight loads behind more urgent ones, and a further
     * delay does not reduce the number of loads.
     */
    static boolean loadDue(
            AdapterDemand demand, Policy policy, int batch, boolean storeIdle, long nowNanos) {
        if (policy.loadStallWeight() > policy.batchWeight()
                || demand.waiting().size() >= targetGroupSize(policy, batch)) {
            return true;
        }
        for (AdmittedRequest q : demand.waiting()) {
            if (q.urgency() != Urgency.OVERNIGHT
                    || isTenthOfTimeUsed(q, nowNanos)
                    || storeIdle && nowNanos - q.arrivedNanos() >= STORE_IDLE_WAIT_NANOS) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a tenth of the time from the request's arrival to its deadline has passed. A
     * load is then due even if the store is not idle. With a longer wait, all the loads of a night
     * could become due at the same time.
     */
    private static boolean isTenthOfTimeUsed(AdmittedRequest q, long nowNanos) {
        return nowNanos - q.arrivedNanos() >= (q.deadlineNanos() - q.arrivedNanos()) / 10;
    }

    /** Returns whether three quarters of the time until the request's deadline have passed. */
    private static boolean nearDeadline(AdmittedRequest q, long nowNanos) {
        long total = q.deadlineNanos() - q.arrivedNanos();
        return q.deadlineNanos() - nowNanos < total / 4;
    }

    private static double batchShare(Policy policy) {
        double sum = policy.loadStallWeight() + policy.batchWeight();
        return sum <= 0 ? 0 : policy.batchWeight() / sum;
    }
}
