package org.bronzehill.core.node;

/** Outcome of a management command that was sent to an engine. */
public enum OrderOutcome {
    DONE,
    /** The engine refused the fencing number and returned the highest one that it has accepted. */
    FENCED,
    /** The engine has no free adapter slot. */
    FULL,
    /** The weight store refused or failed. */
    STORE_FAILED,
    /** The engine does not know the handle. */
    UNKNOWN_HANDLE,
    /** No answer arrived; the command may or may not have been executed. */
    UNKNOWN
}
