package org.bronzehill.entry.relay;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;
import org.reactivestreams.Publisher;

/**
 * HTTP response to a caller, independent of the HTTP library: either a complete body or the start
 * of an event stream.
 *
 * @param provenance null if unknown
 * @param code result code; null for a stream, whose result is known only at its end
 * @param body complete body; null for a stream
 * @param events events of a stream; null for a complete body
 * @param whenDelivered completes when the event stream has terminated: the HTTP library has taken
 *     the last event, or has cancelled the stream; already complete for a complete body
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

    /** Returns a reply with a complete body. */
    static Reply ofBody(
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
     * @param comment comment line of the event, which clients ignore; empty for none
     */
    public record StreamEvent(String data, String comment) {}
}
