package org.bronzehill.entry.relay;

/**
 * What the entry instance knows about a request before the core has seen it.
 *
 * @param adapter adapter named by the caller; empty for a plain service
 * @param startNanos monotonic time of arrival
 */
public record RequestInfo(String requestId, String kind, String adapter, long startNanos) {}
