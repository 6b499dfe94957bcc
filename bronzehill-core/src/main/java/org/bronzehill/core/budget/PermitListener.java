package org.bronzehill.core.budget;

import org.bronzehill.core.node.Effects;

/**
 * Receives the permits granted to this instance for the engines whose leases it holds. It is called
 * only from {@code onTick} and {@code onMessage} of the budget.
 */
@FunctionalInterface
public interface PermitListener {

    /** Called when the load with this sequence number may start on the engine. */
    void granted(String engine, long sequence, Effects out);
}
