package org.bronzehill.entry.http;

import io.micronaut.http.HttpHeaders;
import io.vavr.control.Either;
import java.time.Duration;
import org.bronzehill.core.result.ResultCode;

/**
 * Parsed headers of a caller's request.
 *
 * @param token bearer token; empty for none
 * @param key idempotency key; empty for none
 * @param deadline null if the caller gave none
 * @param traceparent trace context; empty for none
 */
record CallerHeaders(String token, String kind, String key, Duration deadline, String traceparent) {

    private static final String BEARER = "Bearer ";
    private static final int MAX_KEY_LENGTH = 255;

    /** Parses the headers; a left value is the result code of the refusal. */
    static Either<ResultCode, CallerHeaders> read(HttpHeaders headers, String defaultKind) {
        String authorization = text(headers, "Authorization");
        String token =
                authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())
                        ? authorization.substring(BEARER.length()).strip()
                        : "";
        String key = text(headers, "Idempotency-Key");
        if (key.length() > MAX_KEY_LENGTH) {
            return Either.left(ResultCode.MALFORMED_REQUEST);
        }
        String kind = text(headers, "X-Bronzehill-Kind");
        return deadline(text(headers, "X-Bronzehill-Deadline-Ms"))
                .map(
                        deadline ->
                                new CallerHeaders(
                                        token,
                                        kind.isEmpty() ? defaultKind : kind,
                                        key,
                                        deadline,
                                        text(headers, "traceparent")));
    }

    private static String text(HttpHeaders headers, String name) {
        String value = headers.get(name);
        return value == null ? "" : value.strip();
    }

    private static Either<ResultCode, Duration> deadline(String text) {
        if (text.isEmpty()) {
            return Either.right(null);
        }
        try {
            long ms = Long.parseLong(text);
            return ms > 0
                    ? Either.right(Duration.ofMillis(ms))
                    : Either.left(ResultCode.BAD_DEADLINE);
        } catch (NumberFormatException e) {
            return Either.left(ResultCode.BAD_DEADLINE);
        }
    }
}
