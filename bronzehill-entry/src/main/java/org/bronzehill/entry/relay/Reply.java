package org.bronzehill.entry.relay;

import java.util.Map;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;
import org.reactivestreams.Publisher;

/**
 * Start of the answer to a caller, independent of the HTTP library.
 *
 * @param events events of a stream; null if the body is complete
 * @param body complete body; null for a stream
 * @param code result code; null for a stream, whose result is known at its end
 */
public record Reply(
        int status,
        String contentType,
        Map<String, String> headers,
        Provenance provenance,
        ResultCode code,
        byte[] body,
        Publisher<StreamEvent> events) {

    public Reply {
        headers = Map.copyOf(headers);
    }

    /**
     * One event of a stream.
     *
     * @param comment comment line that clients ignore; empty for none
     */
    public record StreamEvent(String data, String comment) {}
}
