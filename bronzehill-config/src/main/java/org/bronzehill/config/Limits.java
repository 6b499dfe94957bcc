package org.bronzehill.config;

/**
 * Limits for all instances of a region.
 *
 * @param storeLoadsPerSecond sustained rate of adapter loads from the weight store
 * @param storeFullSpeed number of loads that an idle weight store starts without delay, before
 *     {@code storeLoadsPerSecond} limits it
 * @param storeInFlight loads in flight above which transfers from the weight store slow down
 * @param maxBodyBytes largest accepted request body
 * @param engineQueue most requests that may be queued for one engine
 * @param openRequests most open model requests of one entry instance, and also most open service
 *     requests of it; both are counted separately
 * @param configurationCallsPerSecond rate of calls that the configuration service accepts
 */
public record Limits(
        double storeLoadsPerSecond,
        int storeFullSpeed,
        int storeInFlight,
        int maxBodyBytes,
        int engineQueue,
        int openRequests,
        double configurationCallsPerSecond) {

    /** Defaults for limits that a declaration does not set. */
    public static final Limits DEFAULTS = new Limits(4, 2, 16, 1 << 20, 1024, 4096, 2000);
}
