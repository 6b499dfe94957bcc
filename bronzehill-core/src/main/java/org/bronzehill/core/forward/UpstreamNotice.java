package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;

/**
 * What an upstream states about itself in an answer to any request.
 *
 * @param leaving whether it is about to leave and must get no new requests
 * @param pause time for which it wants no requests from this instance; empty if it has not rejected
 *     the request, or has not stated a time
 * @param rejectionLimit number of requests that it can reject in a second, those of all instances
 *     together, without failing; empty if it has not stated one
 */
public record UpstreamNotice(
        boolean leaving, Option<Duration> pause, Option<Integer> rejectionLimit) {

    /** Nothing is stated. */
    public static final UpstreamNotice NONE =
            new UpstreamNotice(false, Option.none(), Option.none());
}
