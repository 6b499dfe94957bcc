package org.bronzehill.core.engine;

import java.util.LinkedHashSet;
import java.util.Set;
import org.bronzehill.config.Policy;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.model.AdapterVersion;

/**
 * Demand for one adapter version on an engine, the handle that serves it, and the progress of its
 * load.
 */
final class AdapterDemand {

    /** Progress of a load. */
    enum Phase {
        NONE,
        PERMIT_REQUESTED,
        /** The permit was granted; the load waits for a free slot. */
        PERMIT_GRANTED,
        LOAD_ORDERED,
        /** The answer to the load order was lost; the engine's reports show the outcome. */
        LOAD_UNKNOWN
    }

    /**
     * Half-life of the use count. It makes a shift of popularity visible within about two minutes.
     */
    private static final double USE_HALF_LIFE_NANOS = 60e9;

    /**
     * Number of missed uses at which the expected rate has fallen to 1/e, see {@link
     * #expectedUses}.
     */
    private static final double MISSED_USES_DECAY_SCALE = 3;

    /**
     * Half-life of the demand of refused requests: about the time until callers abandon a request.
     */
    private static final double REFUSED_HALF_LIFE_NANOS = 5e9;

    private final AdapterVersion version;
    private final Set<AdmittedRequest> waiting = new LinkedHashSet<>();
    private double recentUsesAtLastUse;
    private long lastUseNanos;
    private double refusedDemandAtLastRefusal;
    private long lastRefusalNanos;

    /** Usable handle on the engine; null if there is none. */
    AdapterHandle handle;

    /** Location of the weights of the adapter version. */
    String weightsLocation;

    Phase phase = Phase.NONE;
    long permitSequence;
    long permitRequestedNanos;
    long permitGrantedNanos;
    long requestedDeadlineNanos;
    double requestedValue;
    int loadFailures;
    long loadNotBeforeNanos = Long.MIN_VALUE;

    AdapterDemand(AdapterVersion version, String weightsLocation) {
        this.version = version;
        this.weightsLocation = weightsLocation;
    }

    AdapterVersion version() {
        return version;
    }

    Set<AdmittedRequest> waiting() {
        return waiting;
    }

    /** Adds {@code amount} to the recent uses of the adapter. */
    void recordUse(double amount, long nowNanos) {
        recentUsesAtLastUse = recentUses(nowNanos) + amount;
        lastUseNanos = nowNanos;
    }

    /**
     * Returns the number of uses expected in the next minute. The recent rate is reduced
     * exponentially with the number of missed uses, which are those that would have come since the
     * last use if the rate had continued: few more uses are expected of an adapter that was used
     * six times per second and then not for ten seconds.
     */
    double expectedUses(long nowNanos) {
        double perNano = recentUsesAtLastUse * Math.log(2) / USE_HALF_LIFE_NANOS;
        double missed = perNano * (nowNanos - lastUseNanos);
        return perNano * 60e9 * Math.exp(-missed / MISSED_USES_DECAY_SCALE);
    }

    /** Returns the number of recent uses, which decays with time. */
    double recentUses(long nowNanos) {
        return recentUsesAtLastUse * Math.pow(0.5, (nowNanos - lastUseNanos) / USE_HALF_LIFE_NANOS);
    }

    /**
     * Counts a request that was refused because its adapter could not be loaded before its
     * deadline.
     */
    void recordRefusedDemand(long nowNanos) {
        refusedDemandAtLastRefusal = refusedDemand(nowNanos) + 1;
        lastRefusalNanos = nowNanos;
    }

    /** Returns the number of recently refused requests, which decays with time. */
    double refusedDemand(long nowNanos) {
        return refusedDemandAtLastRefusal == 0
                ? 0
                : refusedDemandAtLastRefusal
                        * Math.pow(0.5, (nowNanos - lastRefusalNanos) / REFUSED_HALF_LIFE_NANOS);
    }

    /**
     * Returns the earliest deadline of the waiting requests, or {@code defaultDeadline} if none
     * waits.
     */
    long earliestDeadline(long defaultDeadline) {
        long earliest = Long.MAX_VALUE;
        for (AdmittedRequest q : waiting) {
            earliest = Math.min(earliest, q.deadlineNanos());
        }
        return waiting.isEmpty() ? defaultDeadline : earliest;
    }

    /**
     * Returns the most urgent class of the waiting requests, or the least urgent class if none
     * waits.
     */
    Urgency urgency() {
        Urgency best = Urgency.OVERNIGHT;
        for (AdmittedRequest q : waiting) {
            best = q.urgency().isMoreUrgentThan(best) ? q.urgency() : best;
        }
        return best;
    }

    /**
     * Returns the value of loading the adapter now. Each waiting request adds {@code kindWeight *
     * (loadStallWeight * stallCost + batchWeight)}, each recently refused request {@code
     * loadStallWeight}.
     */
    double loadValue(Policy policy, long nowNanos) {
        double value = policy.loadStallWeight() * refusedDemand(nowNanos);
        for (AdmittedRequest q : waiting) {
            value +=
                    q.entitlement().kind().weight()
                            * (policy.loadStallWeight() * stallCost(q.urgency())
                                    + policy.batchWeight());
        }
        return value;
    }

    /** Returns whether this object holds no information worth keeping. */
    boolean isIdle(long nowNanos) {
        return waiting.isEmpty()
                && handle == null
                && phase == Phase.NONE
                && loadNotBeforeNanos <= nowNanos
                && recentUses(nowNanos) < 0.05
                && refusedDemand(nowNanos) < 0.05;
    }

    /** Returns the cost of a load stall relative to that of the {@code SHIFT} class. */
    private static double stallCost(Urgency urgency) {
        return switch (urgency) {
            case INTERACTIVE -> 8;
            case PROMPT -> 4;
            case SHIFT -> 1;
            case OVERNIGHT -> 0;
        };
    }
}
