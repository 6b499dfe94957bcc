package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Bounds of the deployment on forwarding.
 *
 * @param instance identifier of this instance
 * @param dataCentre data centre of this instance
 * @param retryRatio repeats that a service may get for each request, over all instances
 * @param retrySlack further repeats that a service may get in each window, over all instances
 * @param retryWindow length of the window
 * @param storeRecoveryGrace how long after an outage of the store a lapsed record may come back
 * @param orderLease how long an instance that gave an order is left the only one to do so
 */
public record ForwardSettings(
        String instance,
        String dataCentre,
        double retryRatio,
        double retrySlack,
        Duration retryWindow,
        Duration storeRecoveryGrace,
        Duration orderLease) {}
