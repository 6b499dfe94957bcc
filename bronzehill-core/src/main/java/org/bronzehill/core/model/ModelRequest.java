package org.bronzehill.core.model;

import java.time.Duration;

/**
 * A caller's request for a model answer, as parsed by the entry instance that received it.
 *
 * @param token bearer token of the caller; never logged
 * @param kind kind of request, by its name in the configuration
 * @param timeLeft time left until the caller's deadline; null to use the deadline of the kind
 * @param prefixHash hash of the prompt's prefix, for cache affinity
 * @param maxTokens maximum number of generated tokens
 */
public record ModelRequest(
        String requestId,
        String token,
        String kind,
        String adapter,
        Duration timeLeft,
        byte[] body,
        boolean stream,
        long prefixHash,
        int maxTokens) {}
