package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import org.bronzehill.core.result.ResultCode;

/** Connection of one call to its caller and to the upstream that runs it. */
public interface CallTransport {

    /** Hands over the call, to which all that happens is reported; comes before everything else. */
    void onOpened(ForwardCall call);

    /** Sends the request to an upstream; events of earlier attempts are no longer reported. */
    void send(Attempt attempt);

    /** Ends the running attempt by closing its connection. */
    void cancelAttempt();

    /**
     * Answers the caller in place of an upstream; nothing of an answer has been passed on yet.
     *
     * @param retryAfter when the caller should come back, if it should
     */
    void refuse(ResultCode code, Option<Duration> retryAfter);

    /** Ends an answer that has begun, so that the caller sees that it is incomplete. */
    void abortAnswer(ResultCode code);
}
