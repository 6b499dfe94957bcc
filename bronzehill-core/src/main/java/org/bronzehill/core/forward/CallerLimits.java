package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.Collections;
import java.util.List;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes size of the request line and headers
 * @param maxBodyBytes size of the body
 * @param headerTimeout longest time from the first byte to the end of the headers
 * @param idleTimeout how long a connection without a request is kept
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Limits until a configuration is known. The header size is the default of Netty. */
    public static final CallerLimits INITIAL =
            new CallerLimits(8192, 1 << 20, Duration.ofSeconds(10), Duration.ofSeconds(30));

    /** Returns the larger value of each limit. */
    CallerLimits max(CallerLimits other) {
        return new CallerLimits(
                Math.max(maxHeaderBytes, other.maxHeaderBytes),
                Math.max(maxBodyBytes, other.maxBodyBytes),
                Collections.max(List.of(headerTimeout, other.headerTimeout)),
                Collections.max(List.of(idleTimeout, other.idleTimeout)));
    }
}
