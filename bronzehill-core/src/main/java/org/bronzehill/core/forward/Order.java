package org.bronzehill.core.forward;

/**
 * Load or unload order to an engine.
 *
 * @param target base model or adapter
 * @param version version of an adapter; 0 for the newest
 * @param fencing fencing number of the claim under which the order is sent
 */
public record Order(Operation operation, AdapterRef target, int version, long fencing) {

    /** Operation that the engine performs. */
    public enum Operation {
        LOAD,
        UNLOAD
    }
}
