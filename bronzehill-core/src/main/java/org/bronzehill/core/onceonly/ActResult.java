package org.bronzehill.core.onceonly;

import org.bronzehill.core.result.ResultCode;

/** Result of a request for a once-only act. */
public record ActResult(ResultCode code, ActAnswer answer) {

    /** Creates a result without an answer. */
    public static ActResult of(ResultCode code) {
        return new ActResult(code, ActAnswer.NONE);
    }
}
