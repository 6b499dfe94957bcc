package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;

/**
 * One sending of a request to an upstream.
 *
 * @param number 1 for the first sending
 * @param deadline how long the upstream may work on it
 * @param adapterVersion version of the adapter that must answer
 * @param priority 0 is the most urgent
 */
public record Attempt(
        int number,
        UpstreamRecord upstream,
        Duration deadline,
        Option<Integer> adapterVersion,
        int priority) {}
