package org.bronzehill.replay.experiment;

import org.bronzehill.core.result.ResultCode;

/**
 * Outcome of a request whose caller was entitled to it.
 *
 * @param arrivedNanos nanoseconds since the start
 * @param stallNanos time from the arrival of the request until its adapter was loaded on the engine
 *     that last started to run it; 0 if the adapter was loaded before or no engine ran the request;
 *     the whole budget if the request did not succeed
 * @param code null if the run ended before the request did
 */
public record RequestOutcome(
        String kind,
        String adapter,
        String caller,
        long arrivedNanos,
        long endedNanos,
        long budgetNanos,
        long stallNanos,
        boolean inTime,
        ResultCode code) {

    /** Returns whether the request is a model request, which an engine has to run. */
    public boolean isModelRequest() {
        return !adapter.isEmpty();
    }
}
