package org.bronzehill.entry.upstream;

import java.net.URI;
import java.time.Duration;
import java.util.Map;

/**
 * One HTTP request to an upstream or to a service of the platform.
 *
 * @param silence longest allowed gap without any received data
 * @param deadline longest time until the answer is complete
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

    /** Returns a request without a body that must be answered within {@code deadline}. */
    static HttpCall get(URI uri, Duration deadline) {
        return new HttpCall("GET", uri, Map.of(), NO_BODY, deadline, deadline);
    }
}
