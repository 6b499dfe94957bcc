package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.result.ResultCode;

/** Receives the outcomes of calls, for metrics. */
public interface ForwardListener {

    /** An upstream's complete answer was passed on. */
    void completed(ForwardRequest request, int status, Duration took);

    /** A request that resumes a stream was continued, refused or failed. */
    void resumed(ResumeOutcome outcome, OriginSource source);

    /** The call was refused, failed or aborted, without a complete answer of an upstream. */
    void notCompleted(ForwardRequest request, ResultCode code, Duration took);
}
