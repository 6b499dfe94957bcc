package org.bronzehill.core.node;

/** Outcome of an order to an engine. */
public enum OrderOutcome {
    DONE,
    /** The engine refused the fencing number; it told its highest one. */
    FENCED,
    /** No free adapter slot. */
    FULL,
    /** The weight store refused or failed. */
    STORE_FAILED,
    /** The engine does not know the handle. */
    UNKNOWN_HANDLE,
    /** No answer; the order may or may not have been carried out. */
    UNKNOWN
}
