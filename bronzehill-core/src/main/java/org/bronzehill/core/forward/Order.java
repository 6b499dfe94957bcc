package org.bronzehill.core.forward;

import io.vavr.control.Option;

/**
 * Load or unload order to an engine.
 *
 * @param target base model or adapter
 * @param version version of an adapter; 0 for the newest
 * @param fencing fencing number of the claim under which the order is sent
 * @param expectedOrders number of orders that the engine must have accepted before, or else it
 *     refuses this one; empty if it is to accept the order in any case
 */
public record Order(
        Operation operation,
        AdapterRef target,
        int version,
        long fencing,
        Option<Long> expectedOrders) {

    /** Creates an order that does not depend on earlier ones. */
    public Order(Operation operation, AdapterRef target, int version, long fencing) {
        this(operation, target, version, fencing, Option.none());
    }

    /** Operation that the engine performs. */
    public enum Operation {
        LOAD,
        UNLOAD
    }
}
