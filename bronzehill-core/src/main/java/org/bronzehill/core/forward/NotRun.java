package org.bronzehill.core.forward;

/** Why an upstream has not run a request. */
public enum NotRun {
    /** It is full, leaving, or out of time. */
    REFUSED,
    /** It lacks the adapter, or the version of it. */
    ADAPTER_MISSING,
    /** Another upstream has the address now. */
    MISADDRESSED
}
