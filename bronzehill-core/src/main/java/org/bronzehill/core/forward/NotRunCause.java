package org.bronzehill.core.forward;

import org.bronzehill.core.result.ResultCode;

/** Reason why an upstream has not run a request. */
public enum NotRunCause {
    /** The upstream is full, is draining, or has no time left for the request. */
    REFUSED,
    /** The upstream lacks the adapter, or its required version. */
    ADAPTER_MISSING,
    /**
     * Another instance, to which the request was relayed, cannot send it to any upstream, or cannot
     * be reached.
     */
    NO_UPSTREAM,
    /** Another instance does not know this one yet, which has just started. */
    UNKNOWN_SENDER,
    /** Another instance, or all upstreams that it could use, have no place for the request. */
    FULL,
    /** The address now belongs to another upstream. */
    MISADDRESSED;

    /**
     * Returns the cause that the refusal of a relayed request has for the instance that has relayed
     * it. One that reaches no upstream or stops is left alone for a time. One whose upstreams do
     * not take the request may serve others: they may be full, or of another service.
     */
    public static NotRunCause ofRelayed(ResultCode refusal) {
        return switch (refusal) {
            case ISOLATED, DRAINING -> NO_UPSTREAM;
            case QUEUE_FULL -> FULL;
            default -> REFUSED;
        };
    }
}
