package org.bronzehill.entry.upstream;

import java.util.Map;
import org.bronzehill.core.node.FailureReason;

/**
 * Receives the response to an {@link HttpCall} on an event loop. Exactly one of {@link #onComplete}
 * and {@link #onFailure} is called, as the last call.
 */
interface HttpListener {

    /** Receives the status and the headers; header names are in lower case. */
    void onHead(int status, Map<String, String> headers);

    /** Receives a part of the body. */
    void onData(byte[] data);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when the call has failed; the response stays incomplete. */
    void onFailure(FailureReason reason, String detail);
}
