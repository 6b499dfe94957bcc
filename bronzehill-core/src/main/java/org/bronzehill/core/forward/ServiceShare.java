package org.bronzehill.core.forward;

/**
 * Part of a route's requests that goes to one service.
 *
 * @param weight share relative to the other services of the route; not negative
 */
public record ServiceShare(String service, int weight) {}
