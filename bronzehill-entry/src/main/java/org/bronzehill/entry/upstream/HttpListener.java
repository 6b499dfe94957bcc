package org.bronzehill.entry.upstream;

import java.util.Map;
import org.bronzehill.core.node.FailureReason;

/**
 * Receives the answer to an {@link HttpCall} on an event loop. Exactly one of {@link #onComplete}
 * and {@link #onFailure} ends it.
 */
interface HttpListener {

    /** The status and headers arrived; header names are in lower case. */
    void onHead(int status, Map<String, String> headers);

    /** A part of the body arrived. */
    void onData(byte[] data);

    /** The answer is complete. */
    void onComplete();

    /** The answer will not be completed. */
    void onFailure(FailureReason reason, String detail);
}
