package org.bronzehill.core.placement;

/**
 * An engine that was considered for a request; all times in seconds, a lower score is better.
 *
 * @param stall expected load stall
 * @param lackOfBatchGain share of the batch that would stay empty
 * @param queueDelay expected time in the engine's queue
 * @param note {@code resident}, {@code loading} or {@code cold} for the state of the adapter, or
 *     {@code passed over} if the engine cannot be chosen
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
