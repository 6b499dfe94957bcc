package org.bronzehill.core.placement;

/**
 * An engine that was considered for a request; all times in seconds, a lower score is better.
 *
 * @param stall expected time until the adapter is loaded on the engine
 * @param lackOfBatchGain share of the batch that would stay empty
 * @param queueDelay expected time in the engine's queue
 * @param note {@code resident}, {@code loading} or {@code cold} if the adapter is resident, being
 *     loaded or neither of them, or {@code passed over} if the engine is not a candidate
 */
public record RouteCandidate(
        String engine,
        String holder,
        double score,
        double stall,
        double lackOfBatchGain,
        double queueDelay,
        boolean prefixCached,
        String note) {}
