package org.bronzehill.entry.http;

/**
 * Settings of the HTTP endpoints.
 *
 * @param defaultKind kind of requests without the header, for client libraries that cannot set one
 */
public record HttpSettings(String defaultKind) {}
