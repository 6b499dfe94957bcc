package org.bronzehill.core.placement;

import java.time.Duration;

/**
 * The engine chosen for one attempt.
 *
 * @param id distinguishes the routes of one router
 * @param holder instance that holds the engine's lease, as far as known
 * @param routedNanos monotonic time at which the route was chosen
 */
public record Route(
        long id, String engine, String holder, Duration expectedStall, long routedNanos) {}
