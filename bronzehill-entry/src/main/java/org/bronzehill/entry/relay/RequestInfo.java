package org.bronzehill.entry.relay;

/**
 * Data of a request that are known before the core handles it.
 *
 * @param kind kind given by the caller, unchecked; may be empty
 * @param adapter adapter given by the caller, unchecked; empty for an application service
 * @param startNanos monotonic time of arrival
 */
public record RequestInfo(String requestId, String kind, String adapter, long startNanos) {}
