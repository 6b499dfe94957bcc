package org.bronzehill.standin.driver.internal;

import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/**
 * Outcome of one attempt as the caller sees it.
 *
 * @param instance entry instance to which the attempt was sent
 * @param sentMs time after the start of the load at which the attempt was sent
 * @param code null if the connection broke, no answer arrived in time, or the answer contains no
 *     result code
 * @param failure reason for the missing code; empty if there is a code
 * @param correct whether a successful answer is complete and belongs to the call
 */
public record AttemptOutcome(
        Call call,
        String instance,
        long sentMs,
        String requestId,
        ResultCode code,
        String failure,
        String adapter,
        int version,
        long configurationNumber,
        String upstream,
        boolean correct) {

    /** Returns whether the answer reports success. */
    public boolean isSuccess() {
        return code != null && code.isSuccess();
    }

    /** Returns whether the answer reports that the request has not run. */
    public boolean reportsNotRun() {
        return code != null && code.runState() == RunState.NOT_RUN;
    }

    /** Returns the code, or the reason why there is none. */
    public String label() {
        return code == null ? failure : code.number() + " " + code.name();
    }
}
