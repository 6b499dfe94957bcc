package org.bronzehill.core.forward;

import io.vavr.control.Option;

/**
 * Stream of an earlier request that a caller continues with another request.
 *
 * @param firstRequest identifier of the caller's request whose answer began the stream; empty if
 *     the caller does not name it
 */
public record ResumedStream(Option<String> firstRequest) {}
