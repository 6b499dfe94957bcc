package org.bronzehill.entry.upstream;

import org.bronzehill.core.node.Input;

/** Accepts inputs for the core without blocking. */
@FunctionalInterface
public interface InputSink {

    /** Queues an input. */
    void accept(Input input);
}
