package org.bronzehill.core.forward;

/** How an engine answered an order. */
public enum OrderReply {
    /** The order is being carried out. */
    ACCEPTED,
    /** What the order asks for already holds. */
    ALREADY,
    /** Another order is in progress. */
    BUSY,
    /** Another instance has ordered with a higher fencing number. */
    FENCED,
    /** The engine knows no such order, or lacks the model. */
    REJECTED,
    /** Another upstream has the address now. */
    MISADDRESSED,
    /** No connection was opened, so the engine has not seen the order. */
    UNREACHABLE,
    /** No answer came, so the order may have been accepted. */
    UNKNOWN
}
