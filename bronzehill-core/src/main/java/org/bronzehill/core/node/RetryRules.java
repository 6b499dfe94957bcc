package org.bronzehill.core.node;

import java.util.EnumSet;
import java.util.Set;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/** Which results of an attempt allow another one. */
final class RetryRules {

    /** Refusals that another engine or a later moment may not repeat. */
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

    /** Refusals that say nothing about the engine, only about who holds it now. */
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

    /** Returns whether the refusal came before any engine, so that a retry adds no load. */
    static boolean reachedNoEngine(ResultCode code) {
        return HOLDER_REFUSALS.contains(code);
    }
}
