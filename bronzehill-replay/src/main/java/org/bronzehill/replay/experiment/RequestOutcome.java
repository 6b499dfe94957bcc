package org.bronzehill.replay.experiment;

import org.bronzehill.core.result.ResultCode;

/**
 * Outcome of a request whose caller was entitled to it.
 *
 * @param arrivedNanos nanoseconds since the start
 * @param stallNanos time from the arrival of the request to the arrival of its adapter at the
 *     engine that completed it; the whole budget if no engine did
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

    /** Returns whether an engine had to run the request. */
    public boolean isModelRequest() {
        return !adapter.isEmpty();
    }
}
