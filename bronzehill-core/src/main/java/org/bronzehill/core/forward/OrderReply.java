package org.bronzehill.core.forward;

/** Reply of an engine to an order. */
public enum OrderReply {
    /** The order is in progress. */
    ACCEPTED,
    /**
     * The requested state is already in effect. A repeated order gets this reply once the operation
     * has ended.
     */
    ALREADY,
    /** Another order is in progress. */
    BUSY,
    /** Another instance has sent an order with a higher fencing number. */
    FENCED,
    /** The engine does not support the order, or lacks the model. */
    REJECTED,
    /** The address now belongs to another upstream. */
    MISADDRESSED,
    /** No connection was opened, so the engine has not seen the order. */
    UNREACHABLE,
    /** No answer came, so the order may have been accepted. */
    UNKNOWN
}
