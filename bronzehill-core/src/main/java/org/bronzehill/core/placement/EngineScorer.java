package org.bronzehill.core.placement;

import java.time.Duration;
import org.bronzehill.config.Policy;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.placement.EngineView.Residency;

/**
 * Computes the cost of an engine for a request in seconds; lower is better. The cost is stall
 * weight × expected load stall + batch weight × {@link #EMPTY_BATCH_COST_SECONDS} × share of the
 * batch that stays empty + queue delay, reduced for a cached prompt prefix and raised for an
 * overdue summary or a slow holder. The load stall is the time that the request waits until its
 * adapter is loaded.
 */
final class EngineScorer {

    /** Duration of one adapter load while the weight store is otherwise idle. */
    private static final double IDLE_STORE_LOAD_SECONDS = 0.25;

    /**
     * Cost that is multiplied by the share of the batch that stays empty. With equal weights, a
     * share of 1 costs as much as a load from an idle store.
     */
    private static final double EMPTY_BATCH_COST_SECONDS = IDLE_STORE_LOAD_SECONDS;

    /** Time saved by a cached prompt prefix. */
    private static final double CACHED_PREFIX_BONUS_SECONDS = 0.05;

    /**
     * Delay assumed for a holder that answers late. It is the longest response time at which
     * membership still counts a peer as slow rather than suspect.
     */
    private static final double SLOW_HOLDER_PENALTY_SECONDS = 0.75;

    /** Cost added to an engine whose summary is overdue. */
    private static final double STALE_SUMMARY_PENALTY_SECONDS = 0.5;

    /**
     * Age above which a summary is overdue. It must exceed the interval between summaries that
     * differ only in request counts, which is 4.5 s with 300 engines.
     */
    static final long MAX_SUMMARY_AGE_NANOS = Duration.ofSeconds(6).toNanos();

    /**
     * Share of the batch above which a queue delay is expected. It is below 1 because several
     * instances route requests to the last free places at the same time.
     */
    private static final double QUEUEING_FILL_RATIO = 0.8;

    private static final double MIN_SERVICE_SECONDS = 0.01;
    private static final double MAX_SERVICE_SECONDS = 30;
    private static final double SERVICE_TIME_SMOOTHING = 0.02;

    private final EngineIndex index;
    private final HolderDirectory holders;
    private double meanServiceSeconds = 0.5;

    EngineScorer(EngineIndex index, HolderDirectory holders) {
        this.index = index;
        this.holders = holders;
    }

    /** Updates the mean service time with that of an attempt, excluding its load stall. */
    void recordServiceTime(double seconds) {
        double bounded = Math.min(MAX_SERVICE_SECONDS, Math.max(MIN_SERVICE_SECONDS, seconds));
        meanServiceSeconds += SERVICE_TIME_SMOOTHING * (bounded - meanServiceSeconds);
    }

    /** Returns the expected duration of a new load behind the loads in progress in the region. */
    double newLoadSeconds(double storeLoadsPerSecond) {
        return IDLE_STORE_LOAD_SECONDS + index.pendingLoads() / Math.max(0.1, storeLoadsPerSecond);
    }

    /** Returns the expected load stall at the engine. */
    double stall(EngineView e, AdapterVersion version, double newLoadSeconds) {
        Residency r = e.adapters().get(version);
        return r == null ? newLoadSeconds : r.loading() ? newLoadSeconds / 2 : 0;
    }

    /**
     * Returns the share of the batch that stays empty when the request is added. Returns 1 if the
     * batch is already full, because a queued request does not make any batch fuller.
     */
    double emptyBatchShare(EngineView e) {
        return e.load() < e.batchSize() ? 1 - (e.load() + 1.0) / e.batchSize() : 1;
    }

    double queueDelay(EngineView e) {
        double excess = e.load() + 1 - QUEUEING_FILL_RATIO * e.batchSize();
        return excess <= 0 ? 0 : excess / e.batchSize() * meanServiceSeconds;
    }

    double score(EngineView e, Policy policy, double stall, long prefixHash, long nowNanos) {
        double score =
                policy.loadStallWeight() * stall
                        + policy.batchWeight() * EMPTY_BATCH_COST_SECONDS * emptyBatchShare(e)
                        + queueDelay(e);
        score -= e.hasPrefix(prefixHash) ? CACHED_PREFIX_BONUS_SECONDS : 0;
        score += e.isFresh(nowNanos, MAX_SUMMARY_AGE_NANOS) ? 0 : STALE_SUMMARY_PENALTY_SECONDS;
        score += holders.isImpaired(e.holder()) ? SLOW_HOLDER_PENALTY_SECONDS : 0;
        return score;
    }
}
