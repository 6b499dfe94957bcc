package org.bronzehill.entry.upstream;

import org.bronzehill.core.node.Input;

/** Takes inputs for the core; never blocks. */
@FunctionalInterface
public interface InputSink {

    /** Queues an input. */
    void accept(Input input);
}
