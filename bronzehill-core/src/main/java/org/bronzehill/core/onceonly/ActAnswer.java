package org.bronzehill.core.onceonly;

import com.google.protobuf.ByteString;

/**
 * Answer of the application service to a once-only act.
 *
 * @param upstream application runner that ran the act
 */
public record ActAnswer(int httpStatus, String contentType, ByteString body, String upstream) {

    /** Placeholder for a request without an answer. */
    public static final ActAnswer NONE = new ActAnswer(0, "", ByteString.EMPTY, "");
}
