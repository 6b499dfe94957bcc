package org.bronzehill.config;

/**
 * Settings of the placement policy.
 *
 * @param loadStallWeight weight of expected load stalls in an engine's score
 * @param batchWeight weight of batch efficiency in an engine's score
 * @param scope instances that may hold the lease of an engine
 */
public record Policy(double loadStallWeight, double batchWeight, OwnershipScope scope) {

    /** Defaults for a declaration without a policy. */
    public static final Policy DEFAULTS = new Policy(1.0, 0.5, OwnershipScope.REGION);
}
