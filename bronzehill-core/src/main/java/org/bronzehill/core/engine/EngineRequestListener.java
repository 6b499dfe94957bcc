package org.bronzehill.core.engine;

import org.bronzehill.core.node.Effects;

/** Receives the results of an {@link EngineScheduler}; called exactly once for each request. */
@FunctionalInterface
public interface EngineRequestListener {

    /** Called when the request has ended and no further output follows. */
    void ended(EngineRequest request, EngineResult result, Effects out);
}
