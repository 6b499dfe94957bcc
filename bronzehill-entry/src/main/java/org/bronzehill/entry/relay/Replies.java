package org.bronzehill.entry.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.result.Resend;

/** Builds replies that consist of one body. */
final class Replies {

    /** Used when the core names no time; it is about the time in which a queue drains. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private Replies() {}

    /** Returns the answer of a plain service, or the error that ended the request. */
    static Reply of(RequestInfo info, Effect.Answer answer) {
        if (answer.body() != null) {
            return Reply.whole(
                    answer.body().httpStatus(),
                    answer.body().contentType(),
                    Map.of(),
                    answer.provenance(),
                    answer.code(),
                    answer.body().body());
        }
        return Reply.whole(
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
            Duration wait =
                    answer.retryAfter() == null || answer.retryAfter().isZero()
                            ? DEFAULT_RETRY_AFTER
                            : answer.retryAfter();
            headers.put("Retry-After", String.valueOf(Math.max(1, wait.toSeconds())));
        }
        if (resend == Resend.NO || resend == Resend.AFTER_LOOKUP) {
            // OpenAI client libraries resend 409 and 5xx on their own unless this header forbids
            // it.
            headers.put("x-should-retry", "false");
        }
        return headers;
    }
}
