package org.bronzehill.core.budget;

import org.bronzehill.core.node.Effects;

/**
 * Receives the permits that an engine holder asked for. It is called only from {@code onTick} and
 * {@code onMessage} of the budget.
 */
@FunctionalInterface
public interface PermitListener {

    /** Called when the load with this sequence may start on the engine. */
    void granted(String engine, long sequence, Effects out);
}
