package org.bronzehill.entry.upstream;

import java.net.URI;
import java.time.Duration;
import java.util.Map;

/**
 * One HTTP request to an upstream or to a service of the platform.
 *
 * @param idleTimeout longest allowed time without received data
 * @param timeout longest allowed time until the response is complete
 */
public record HttpCall(
        String method,
        URI uri,
        Map<String, String> headers,
        byte[] body,
        Duration idleTimeout,
        Duration timeout) {

    private static final byte[] NO_BODY = {};

    public HttpCall {
        headers = Map.copyOf(headers);
    }

    /** Returns a GET request whose response must be complete within {@code timeout}. */
    static HttpCall get(URI uri, Duration timeout) {
        return new HttpCall("GET", uri, Map.of(), NO_BODY, timeout, timeout);
    }
}
