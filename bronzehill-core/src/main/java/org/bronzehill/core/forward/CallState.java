package org.bronzehill.core.forward;

/** State of a call. */
enum CallState {
    DISPATCHING,
    QUEUED,
    AWAITING_ADAPTER,
    SENT,
    ENDED;

    /** Returns whether the call waits at this instance for a place or an adapter. */
    boolean isWaiting() {
        return this == QUEUED || this == AWAITING_ADAPTER;
    }
}
