package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Settings of the deployment for forwarding.
 *
 * @param instance identifier of this instance
 * @param dataCentre data centre of this instance
 * @param retryRatio retries that a service may use per request, over all instances
 * @param retriesPerWindow additional retries that a service may use in each window, over all
 *     instances
 * @param retryWindow length of the window
 * @param storeRecoveryGrace how long after an outage a lapsed record may be published again in the
 *     store from which upstreams and the configuration are read
 * @param upstreamHeartbeat interval at which an upstream publishes its record; zero if it is not
 *     known, so that the history of the records cannot be used
 * @param orderLease how long after an order an engine accepts orders only from the instance that
 *     sent it
 */
public record ForwardSettings(
        String instance,
        String dataCentre,
        double retryRatio,
        double retriesPerWindow,
        Duration retryWindow,
        Duration storeRecoveryGrace,
        Duration upstreamHeartbeat,
        Duration orderLease) {}
