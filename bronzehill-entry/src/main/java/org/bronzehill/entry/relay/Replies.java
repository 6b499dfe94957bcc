package org.bronzehill.entry.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.result.Resend;

/** Builds replies with a complete body. */
final class Replies {

    /** Used if the core gives no delay; a queue drains in about this time. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private Replies() {}

    /** Returns the answer of an application service, or the error that ended the request. */
    static Reply of(RequestInfo info, Effect.Answer answer) {
        if (answer.body() != null) {
            return Reply.ofBody(
                    answer.body().httpStatus(),
                    answer.body().contentType(),
                    Map.of(),
                    answer.provenance(),
                    answer.code(),
                    answer.body().body());
        }
        return Reply.ofBody(
                answer.code().httpStatus(),
                "application/json",
                headers(answer),
                answer.provenance(),
                answer.code(),
                ErrorBody.json(info, answer).getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> headers(Effect.Answer answer) {
        Map<String, String> headers = new HashMap<>();
        Resend resend = answer.code().resend();
        if (resend == Resend.LATER) {
            Duration delay =
                    answer.retryAfter() == null || answer.retryAfter().isZero()
                            ? DEFAULT_RETRY_AFTER
                            : answer.retryAfter();
            headers.put("Retry-After", String.valueOf(Math.max(1, delay.toSeconds())));
        }
        if (resend == Resend.NO || resend == Resend.AFTER_LOOKUP) {
            // OpenAI client libraries retry after 409 and 5xx unless this header forbids it.
            headers.put("x-should-retry", "false");
        }
        return headers;
    }
}
