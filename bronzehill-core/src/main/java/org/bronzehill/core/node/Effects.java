package org.bronzehill.core.node;

/** Collector of the effects that a component asks its program to carry out, in order. */
@FunctionalInterface
public interface Effects {

    /** Adds one effect. */
    void add(Effect effect);
}
