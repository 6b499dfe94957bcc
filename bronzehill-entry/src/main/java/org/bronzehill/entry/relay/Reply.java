package org.bronzehill.entry.relay;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;
import org.reactivestreams.Publisher;

/**
 * Start of the answer to a caller, independent of the HTTP library.
 *
 * @param events events of a stream; null if the body is complete
 * @param whenDelivered completes when the HTTP library has taken the last event of a stream, or
 *     fails to
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
        Publisher<StreamEvent> events,
        CompletableFuture<Void> whenDelivered) {

    public Reply {
        headers = Map.copyOf(headers);
    }

    /** Returns a reply that consists of one body. */
    static Reply whole(
            int status,
            String contentType,
            Map<String, String> headers,
            Provenance provenance,
            ResultCode code,
            byte[] body) {
        return new Reply(
                status,
                contentType,
                headers,
                provenance,
                code,
                body,
                null,
                CompletableFuture.completedFuture(null));
    }

    /**
     * One event of a stream.
     *
     * @param comment comment line that clients ignore; empty for none
     */
    public record StreamEvent(String data, String comment) {}
}
