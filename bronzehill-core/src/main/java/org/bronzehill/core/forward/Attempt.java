package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;

/**
 * One attempt to run a request at an upstream.
 *
 * @param number 1 for the first attempt
 * @param timeLimit how long the upstream may work on the request
 * @param adapterVersion newest known version of the adapter, which the upstream must hold
 * @param priority 0 is the most urgent
 */
public record Attempt(
        int number,
        UpstreamRecord upstream,
        Duration timeLimit,
        Option<Integer> adapterVersion,
        int priority) {}
