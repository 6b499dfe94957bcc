package org.bronzehill.core.forward;

/** Reason why an upstream has not run a request. */
public enum NotRunCause {
    /** The upstream is full, is draining, or has no time left for the request. */
    REFUSED,
    /** The upstream lacks the adapter, or its required version. */
    ADAPTER_MISSING,
    /** The address now belongs to another upstream. */
    MISADDRESSED
}
