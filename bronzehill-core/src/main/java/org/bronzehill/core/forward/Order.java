package org.bronzehill.core.forward;

/**
 * Order to an engine.
 *
 * @param target base model or adapter
 * @param version version of an adapter; 0 for the newest
 * @param fencing fencing number of the claim under which the order is given
 */
public record Order(Operation operation, AdapterRef target, int version, long fencing) {

    /** What the engine is to do. */
    public enum Operation {
        LOAD,
        UNLOAD
    }
}
