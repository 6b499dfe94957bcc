package org.bronzehill.core.placement;

import java.time.Duration;

/**
 * The engine chosen for one attempt.
 *
 * @param id unique among the routes of one router
 * @param holder known holder of the engine's lease, or else the first live candidate for it
 * @param expectedStall expected time until the adapter is loaded on the engine
 * @param routedNanos monotonic time at which the route was chosen
 */
public record Route(
        long id, String engine, String holder, Duration expectedStall, long routedNanos) {}
