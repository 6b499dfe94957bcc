package org.bronzehill.core.model;

import java.time.Duration;

/**
 * A caller's call to an application service on an application runner.
 *
 * @param token bearer token of the caller; never logged
 * @param kind kind of request, by its name in the configuration
 * @param key idempotency key; empty if the caller sent none
 * @param timeLeft time left until the caller's deadline; null to use the deadline of the kind
 */
public record ServiceRequest(
        String requestId,
        String token,
        String kind,
        String service,
        String operation,
        String key,
        Duration timeLeft,
        byte[] body,
        String contentType) {}
