package org.bronzehill.core.node;

/** Collects the effects that a component requests from the hosting program, in order. */
@FunctionalInterface
public interface Effects {

    /** Adds one effect. */
    void add(Effect effect);
}
