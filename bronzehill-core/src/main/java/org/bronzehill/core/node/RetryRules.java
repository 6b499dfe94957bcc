package org.bronzehill.core.node;

import java.util.EnumSet;
import java.util.Set;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/** Rules that decide whether a request may be attempted again after a failed attempt. */
final class RetryRules {

    /** Refusals after which another engine or a later time may lead to success. */
    private static final Set<ResultCode> RETRYABLE_REFUSALS =
            EnumSet.of(
                    ResultCode.DEADLINE_HOPELESS,
                    ResultCode.QUEUE_FULL,
                    ResultCode.TABLE_FULL,
                    ResultCode.NOT_READY,
                    ResultCode.NO_HOLDER,
                    ResultCode.NO_UPSTREAM,
                    ResultCode.DRAINING,
                    ResultCode.LOAD_FAILED,
                    ResultCode.CONFIGURATION_BEHIND,
                    ResultCode.PEER_UNREACHABLE,
                    ResultCode.REDIRECT);

    /** Refusals that concern only the lease holder and not the engine. */
    private static final Set<ResultCode> HOLDER_REFUSALS =
            EnumSet.of(
                    ResultCode.NO_HOLDER,
                    ResultCode.NOT_READY,
                    ResultCode.DRAINING,
                    ResultCode.PEER_UNREACHABLE);

    private static final Set<ResultCode> RETRYABLE_FAILURES =
            EnumSet.of(
                    ResultCode.UPSTREAM_FAILED, ResultCode.TRUNCATED, ResultCode.SILENT_CONNECTION);

    private RetryRules() {}

    /** Returns whether a request that ended with this code may be attempted again. */
    static boolean mayRetry(ResultCode code, boolean repeatable, boolean delivered) {
        if (delivered) {
            return false;
        }
        if (code.runState() == RunState.NOT_RUN) {
            return RETRYABLE_REFUSALS.contains(code);
        }
        return repeatable && RETRYABLE_FAILURES.contains(code);
    }

    /**
     * Returns whether the code concerns only the lease holder: there is none, it refused the
     * request, or it could not be reached. No engine received the request then, so a retry adds no
     * engine load.
     */
    static boolean reachedNoEngine(ResultCode code) {
        return HOLDER_REFUSALS.contains(code);
    }
}
