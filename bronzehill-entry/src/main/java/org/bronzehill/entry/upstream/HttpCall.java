package org.bronzehill.entry.upstream;

import java.net.URI;
import java.time.Duration;
import java.util.Map;

/**
 * One HTTP request to an upstream or to a service of the platform.
 *
 * @param silence longest allowed time without received data
 * @param deadline longest allowed time until the response is complete
 */
public record HttpCall(
        String method,
        URI uri,
        Map<String, String> headers,
        byte[] body,
        Duration silence,
        Duration deadline) {

    private static final byte[] NO_BODY = {};

    public HttpCall {
        headers = Map.copyOf(headers);
    }

    /** Returns a GET request whose response must be complete within {@code deadline}. */
    static HttpCall get(URI uri, Duration deadline) {
        return new HttpCall("GET", uri, Map.of(), NO_BODY, deadline, deadline);
    }
}
