package org.bronzehill.config;

/** Set of instances from which the holder and the grantors of an engine's lease are chosen. */
public enum OwnershipScope {
    /** Instances in the engine's data centre. */
    DATA_CENTRE,
    /** All instances of the region. */
    REGION
}
