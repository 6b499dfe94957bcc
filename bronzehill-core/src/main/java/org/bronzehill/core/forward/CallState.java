package org.bronzehill.core.forward;

/** State of a call. */
enum CallState {
    DISPATCHING,

    /** It is not known yet where the stream began that the caller resumes. */
    AWAITING_ORIGIN,
    QUEUED,
    AWAITING_ADAPTER,
    SENT,

    /** Another instance has the request. */
    RELAYED,
    ENDED;

    /** Returns whether an upstream or another instance has the request. */
    boolean isAttempted() {
        return this == SENT || this == RELAYED;
    }

    /** Returns whether the call waits at this instance and no upstream works on it. */
    boolean isWaiting() {
        return this == QUEUED || this == AWAITING_ADAPTER || this == AWAITING_ORIGIN;
    }
}
