package org.bronzehill.config;

/**
 * Limits that hold for the whole region.
 *
 * @param storeLoadsPerSecond rate of loads that the weight store allows
 * @param storeFullSpeed loads at once that the store serves at full speed
 * @param storeInFlight adapters in flight beyond which transfers slow down
 * @param maxBodyBytes largest accepted request body
 * @param engineQueue largest number of requests that wait for one engine
 * @param openRequests largest number of open requests of one entry instance
 * @param configurationCallsPerSecond calls per second that the configuration service allows
 */
public record Limits(
        double storeLoadsPerSecond,
        int storeFullSpeed,
        int storeInFlight,
        int maxBodyBytes,
        int engineQueue,
        int openRequests,
        double configurationCallsPerSecond) {

    /** Limits used for fields that a declaration leaves out. */
    public static final Limits DEFAULTS = new Limits(4, 2, 16, 1 << 20, 1024, 4096, 2000);
}
