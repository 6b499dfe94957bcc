package org.bronzehill.entry.http;

import java.time.Duration;

/**
 * Settings of the HTTP endpoints.
 *
 * @param defaultKind kind of requests without the header, for client libraries that cannot set one
 * @param callerSilence longest time for which a caller may take no data of its answer
 */
public record HttpSettings(String defaultKind, Duration callerSilence) {}
