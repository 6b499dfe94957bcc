package org.bronzehill.config;

/**
 * Settings of the placement policy. The weights balance load stalls (the time that requests wait
 * until their adapter is loaded) against batch efficiency (how full the engines' batches are). They
 * are used to score engines and to decide which adapters to load, where and when.
 *
 * @param loadStallWeight weight of load stalls
 * @param batchWeight weight of batch efficiency
 * @param scope instances that may hold or grant the lease of an engine
 */
public record Policy(double loadStallWeight, double batchWeight, OwnershipScope scope) {

    /** Defaults for policy fields that a declaration does not set. */
    public static final Policy DEFAULTS = new Policy(1.0, 0.5, OwnershipScope.REGION);
}
