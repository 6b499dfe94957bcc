package org.bronzehill.core.forward;

/** Reason why an upstream has not run a request. */
public enum NotRunCause {
    /** The upstream is full, is draining, or has no time left for the request. */
    REFUSED,
    /** The upstream lacks the adapter, or its required version. */
    ADAPTER_MISSING,
    /** Another instance, to which the request was relayed, has no upstream for it either. */
    NO_UPSTREAM,
    /** The address now belongs to another upstream. */
    MISADDRESSED
}
