package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.result.ResultCode;

/** Receives the ends of calls, for metrics. */
public interface ForwardListener {

    /** An upstream's answer was passed on whole. */
    void completed(ForwardRequest request, int status, Duration took);

    /** The call ended without an upstream's whole answer. */
    void refused(ForwardRequest request, ResultCode code, Duration took);
}
