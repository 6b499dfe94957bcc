package org.bronzehill.core.onceonly;

import org.bronzehill.core.result.ResultCode;

/** How a request for a once-only act ended. */
public record ActResult(ResultCode code, ActAnswer answer) {

    /** Creates a result without an answer. */
    public static ActResult of(ResultCode code) {
        return new ActResult(code, ActAnswer.NONE);
    }
}
