package org.bronzehill.core.admission;

import org.bronzehill.config.KindSpec;
import org.bronzehill.core.result.Resend;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/** Tells whether an entry instance may send a request again on its own. */
public final class RetryRules {

    private RetryRules() {}

    /**
     * Returns whether a request that ended with {@code code} may be sent again. The caller of this
     * method must also take a token of the {@link RetryBudget}, except for a redirect, which is
     * bounded to one by itself.
     *
     * @param delivered whether anything of the answer has reached the caller
     */
    public static boolean mayRetry(ResultCode code, KindSpec kind, boolean delivered) {
        if (delivered || code.resend() == Resend.NO || code == ResultCode.CANCELLED) {
            return false;
        }
        if (code.runState() == RunState.NOT_RUN) {
            return code != ResultCode.SHED && code != ResultCode.MEMBER_LIMIT;
        }
        return code.runState() == RunState.MAY_HAVE_RUN
                && kind.repeatable()
                && !kind.onceOnly()
                && code != ResultCode.DEADLINE_PASSED;
    }

    /** Returns whether a second copy of a running request may be sent. */
    public static boolean mayHedge(KindSpec kind, boolean delivered, boolean hedgedBefore) {
        return kind.repeatable() && !kind.onceOnly() && !delivered && !hedgedBefore;
    }
}
