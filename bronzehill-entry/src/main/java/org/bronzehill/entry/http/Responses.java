package org.bronzehill.entry.http;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.sse.Event;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.entry.relay.Reply;
import org.bronzehill.entry.relay.RequestInfo;
import reactor.core.publisher.Flux;

/** Builds HTTP responses with the headers for request id, result and provenance. */
final class Responses {

    private static final String PREFIX = "X-Bronzehill-";
    private static final int ASCII_DELETE = 0x7f;

    private Responses() {}

    static MutableHttpResponse<?> of(RequestInfo info, String instanceId, Reply reply) {
        MutableHttpResponse<?> response =
                reply.events() == null
                        ? HttpResponse.status(reply.status(), reasonPhrase(reply.status()))
                                .body(reply.body())
                                .contentType(MediaType.of(reply.contentType()))
                        : HttpResponse.ok(Flux.from(reply.events()).map(Responses::event))
                                .contentType(MediaType.TEXT_EVENT_STREAM_TYPE);
        reply.headers().forEach(response::header);
        response.header(PREFIX + "Request-Id", info.requestId());
        response.header(PREFIX + "Entry", instanceId);
        if (reply.code() != null) {
            response.header(PREFIX + "Result", String.valueOf(reply.code().number()));
        }
        Provenance p = reply.provenance();
        if (p != null) {
            response.header(PREFIX + "Adapter", printable(p.adapter()));
            response.header(PREFIX + "Adapter-Version", String.valueOf(p.version()));
            response.header(PREFIX + "Configuration", String.valueOf(p.configurationNumber()));
            response.header(PREFIX + "Upstream", p.upstream());
        }
        return response;
    }

    /**
     * Returns the text if it is printable ASCII without spaces, otherwise an empty string. The
     * adapter of a refused request is unchecked text from the caller.
     */
    private static String printable(String text) {
        return text.chars().allMatch(c -> c > ' ' && c < ASCII_DELETE) ? text : "";
    }

    private static Event<String> event(Reply.StreamEvent e) {
        Event<String> event = Event.of(e.data());
        return e.comment().isEmpty() ? event : event.comment(e.comment());
    }

    /**
     * Returns the reason phrase of a status. {@link HttpStatus} has no constant for 499, which is
     * used when the caller has closed its connection.
     */
    private static String reasonPhrase(int code) {
        for (HttpStatus s : HttpStatus.values()) {
            if (s.getCode() == code) {
                return s.getReason();
            }
        }
        return "Status " + code;
    }
}
