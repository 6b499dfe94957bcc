package org.bronzehill.config;

/** Instances among which the holder and the grantors of an engine's lease are chosen. */
public enum OwnershipScope {
    /** The instances in the engine's data centre. */
    DATA_CENTRE,
    /** All instances of the region. */
    REGION
}
