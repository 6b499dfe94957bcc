package org.bronzehill.entry.http;

import java.time.Duration;

/**
 * Settings of the HTTP endpoints.
 *
 * @param defaultKind kind of model requests without the kind header, for client libraries that
 *     cannot set headers; empty for none
 * @param callerStallTimeout longest time that a caller may go without reading data of its answer
 */
public record HttpSettings(String defaultKind, Duration callerStallTimeout) {}
