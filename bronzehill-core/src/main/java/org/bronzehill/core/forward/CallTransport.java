package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.result.ResultCode;

/** Connections of one call to its caller and to the upstream that runs it. */
public interface CallTransport {

    /** Provides the call that receives all events; invoked before any other method. */
    void onOpened(ForwardCall call);

    /** Sends the request to an upstream. Events of earlier attempts are no longer reported. */
    void send(Attempt attempt);

    /**
     * Relays the request to another instance, which sends it to an upstream. Events of earlier
     * attempts are no longer reported.
     */
    default void relay(InstanceRef instance, Duration timeLimit) {
        throw new IllegalStateException("the transport does not relay requests");
    }

    /** Returns whether the request may be relayed; not if it was relayed to this instance. */
    default boolean mayRelay() {
        return false;
    }

    /**
     * Returns the identifier of the instance that has relayed the request to this one; empty if it
     * came from a caller.
     */
    default Option<String> relayedBy() {
        return Option.none();
    }

    /** Returns whether a connection to an upstream is idle that has been used since a time. */
    default boolean hasConnection(UpstreamRecord upstream, long sinceNanos) {
        return false;
    }

    /**
     * Returns whether another run could go on after what was passed on to the caller: nothing, or a
     * stream whose last event has a number.
     */
    boolean canContinue();

    /** Cancels the running attempt by closing its connection. */
    void cancelAttempt();

    /**
     * Answers the caller with an error. Nothing of an upstream's answer has been passed on yet.
     *
     * @param retryAfter delay after which the caller should retry; empty if it should not
     */
    void answerError(ResultCode code, Option<Duration> retryAfter);

    /** Aborts an answer that has begun, so that the caller can tell that it is incomplete. */
    void abortAnswer(ResultCode code);
}
