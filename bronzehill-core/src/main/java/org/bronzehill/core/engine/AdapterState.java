package org.bronzehill.core.engine;

import java.util.LinkedHashSet;
import java.util.Set;
import org.bronzehill.config.Policy;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.model.AdapterVersion;

/** Demand for one adapter version at an engine, and the progress of its load. */
final class AdapterState {

    /** Progress of a load. */
    enum Phase {
        NONE,
        /** A permit was requested. */
        PERMIT_REQUESTED,
        /** The permit was granted; a slot is being made free. */
        PERMIT_GRANTED,
        LOAD_ORDERED,
        /** The answer to the load order was lost; reports will tell. */
        LOAD_UNKNOWN
    }

    /** Use halves in this time, so that a shift of popularity shows in about two minutes. */
    private static final double USE_HALF_LIFE_NANOS = 60e9;

    /** Uses that may be missed in a row before a rate of use is doubted. */
    private static final double TOLERATED_MISSED_USES = 3;

    /** Demand of refused requests halves in this time: about the time until callers give up. */
    private static final double REFUSED_HALF_LIFE_NANOS = 5e9;

    private final AdapterVersion version;
    private final Set<QueuedRequest> waiting = new LinkedHashSet<>();
    private double usesAtLastUse;
    private long lastUseNanos;
    private double demandAtLastRefusal;
    private long lastRefusalNanos;

    /** Usable handle on the engine; null if there is none. */
    AdapterHandle handle;

    String weights;
    Phase phase = Phase.NONE;
    long permitSequence;
    long permitRequestedNanos;
    long permitGrantedNanos;
    long requestedDeadlineNanos;
    double requestedValue;
    int loadFailures;
    long loadNotBeforeNanos = Long.MIN_VALUE;

    AdapterState(AdapterVersion version, String weights) {
        this.version = version;
        this.weights = weights;
    }

    AdapterVersion version() {
        return version;
    }

    Set<QueuedRequest> waiting() {
        return waiting;
    }

    /** Counts a use of the adapter. */
    void recordUse(double amount, long nowNanos) {
        usesAtLastUse = recentUses(nowNanos) + amount;
        lastUseNanos = nowNanos;
    }

    /**
     * Returns how many uses are to be expected in the next minute. The rate of recent use counts
     * only as far as the time since the last use does not contradict it: an adapter that was used
     * six times a second and then not for ten seconds has lost its popularity.
     */
    double expectedUses(long nowNanos) {
        double perNano = usesAtLastUse * Math.log(2) / USE_HALF_LIFE_NANOS;
        double missed = perNano * (nowNanos - lastUseNanos);
        return perNano * 60e9 * Math.exp(-missed / TOLERATED_MISSED_USES);
    }

    /** Returns the recent use, which decays with time. */
    double recentUses(long nowNanos) {
        return usesAtLastUse * Math.pow(0.5, (nowNanos - lastUseNanos) / USE_HALF_LIFE_NANOS);
    }

    /** Counts a request that was refused because its load would have come too late. */
    void recordRefusedDemand(long nowNanos) {
        demandAtLastRefusal = refusedDemand(nowNanos) + 1;
        lastRefusalNanos = nowNanos;
    }

    /** Returns the recent demand of refused requests, which decays with time. */
    double refusedDemand(long nowNanos) {
        return demandAtLastRefusal == 0
                ? 0
                : demandAtLastRefusal
                        * Math.pow(0.5, (nowNanos - lastRefusalNanos) / REFUSED_HALF_LIFE_NANOS);
    }

    /**
     * Returns the earliest deadline of the waiting requests, or {@code defaultDeadline} if none
     * waits.
     */
    long earliestDeadline(long defaultDeadline) {
        long earliest = Long.MAX_VALUE;
        for (QueuedRequest q : waiting) {
            earliest = Math.min(earliest, q.deadlineNanos());
        }
        return waiting.isEmpty() ? defaultDeadline : earliest;
    }

    /** Returns the most urgent class of the waiting requests; the least urgent if none waits. */
    Urgency urgency() {
        Urgency best = Urgency.OVERNIGHT;
        for (QueuedRequest q : waiting) {
            best = q.urgency().isMoreUrgentThan(best) ? q.urgency() : best;
        }
        return best;
    }

    /**
     * Returns the value of a load. Stalls count by urgency and completed requests by weight, each
     * with the weight that the policy gives to it.
     */
    double loadValue(Policy policy, long nowNanos) {
        double value = policy.loadStallWeight() * refusedDemand(nowNanos);
        for (QueuedRequest q : waiting) {
            value +=
                    q.entitlement().kind().weight()
                            * (policy.loadStallWeight() * stallCost(q.urgency())
                                    + policy.batchWeight());
        }
        return value;
    }

    /** Returns whether nothing would be lost by forgetting the adapter version. */
    boolean isIdle(long nowNanos) {
        return waiting.isEmpty()
                && handle == null
                && phase == Phase.NONE
                && loadNotBeforeNanos <= nowNanos
                && recentUses(nowNanos) < 0.05
                && refusedDemand(nowNanos) < 0.05;
    }

    /** Returns the cost of a stall relative to the least urgent class. */
    private static double stallCost(Urgency urgency) {
        return switch (urgency) {
            case INTERACTIVE -> 8;
            case PROMPT -> 4;
            case SHIFT -> 1;
            case OVERNIGHT -> 0;
        };
    }
}
