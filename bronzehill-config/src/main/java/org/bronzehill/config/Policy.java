package org.bronzehill.config;

/**
 * Weights of the placement policy.
 *
 * @param loadStallWeight weight of expected load stalls in an engine's score
 * @param batchWeight weight of batch efficiency in an engine's score
 */
public record Policy(double loadStallWeight, double batchWeight, OwnershipScope scope) {

    /** Policy used when a declaration has none. */
    public static final Policy DEFAULTS = new Policy(1.0, 0.5, OwnershipScope.REGION);
}
