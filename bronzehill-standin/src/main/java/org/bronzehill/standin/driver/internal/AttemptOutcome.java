package org.bronzehill.standin.driver.internal;

import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/**
 * What a caller was told about one attempt.
 *
 * @param instance entry instance that the attempt was sent to
 * @param sentMs time after the start of the load at which the attempt was sent
 * @param code null if the connection broke or nothing came in time
 * @param failure why there is no code; empty otherwise
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

    /** Returns whether the caller was told that the attempt succeeded. */
    public boolean isSuccess() {
        return code != null && code.isSuccess();
    }

    /** Returns whether the caller was told that the attempt has not run. */
    public boolean reportsNotRun() {
        return code != null && code.runState() == RunState.NOT_RUN;
    }

    /** Returns the code, or why there is none. */
    public String label() {
        return code == null ? failure : code.number() + " " + code.name();
    }
}
