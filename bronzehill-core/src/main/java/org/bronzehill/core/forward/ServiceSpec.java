package org.bronzehill.core.forward;

import io.vavr.control.Option;

/**
 * Group of upstreams that serve the same requests. A plain service has no engines: its upstreams
 * are application runners, which hold no models.
 *
 * @param maxConnections connections that one upstream accepts from all instances together
 * @param engine capacity of its engines; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Option<EngineSpec> engine) {}
