package org.bronzehill.standin.driver.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.standin.internal.Json;

/** Sends one attempt of a call to an entry instance and reads its outcome. */
final class AttemptClient {

    /**
     * Time beyond the deadline of the call after which an attempt is abandoned. The limit applies
     * to the head of the answer, and then anew to its body.
     */
    private static final Duration DEADLINE_GRACE = Duration.ofSeconds(5);

    private final HttpClient client;
    private final long startNanos;

    private AttemptClient(HttpClient client, long startNanos) {
        this.client = client;
        this.startNanos = startNanos;
    }

    static AttemptClient of(HttpClient client, long startNanos) {
        return new AttemptClient(client, startNanos);
    }

    /** Sends the call and waits for the outcome of the attempt. */
    AttemptOutcome send(Call call, Balancer.Target target) throws InterruptedException {
        String id = UUID.randomUUID().toString();
        long sentMs = (System.nanoTime() - startNanos) / 1_000_000;
        OutcomeBuilder outcome = new OutcomeBuilder(call, target.instance(), sentMs, id);
        Duration limit = call.trafficClass().callerDeadline().plus(DEADLINE_GRACE);
        CompletableFuture<HttpResponse<InputStream>> answer =
                client.sendAsync(
                        request(call, target, id, limit),
                        HttpResponse.BodyHandlers.ofInputStream());
        try {
            HttpResponse<InputStream> head = answer.get(limit.toMillis(), TimeUnit.MILLISECONDS);
            outcome.head(head);
            return read(outcome, head, limit);
        } catch (ExecutionException e) {
            return outcome.failed(reason(e.getCause()));
        } catch (TimeoutException e) {
            answer.cancel(true);
            return outcome.failed("silent");
        }
    }

    /**
     * Reads the body in a separate thread, because the read blocks indefinitely on a silent
     * connection.
     */
    private AttemptOutcome read(
            OutcomeBuilder outcome, HttpResponse<InputStream> head, Duration limit)
            throws InterruptedException {
        CompletableFuture<byte[]> body = new CompletableFuture<>();
        Threads.daemon("caller-body")
                .newThread(
                        () -> {
                            try (InputStream in = head.body()) {
                                body.complete(in.readAllBytes());
                            } catch (IOException e) {
                                body.completeExceptionally(e);
                            }
                        })
                .start();
        try {
            return outcome.complete(body.get(limit.toMillis(), TimeUnit.MILLISECONDS));
        } catch (ExecutionException e) {
            return outcome.failed(reason(e.getCause()));
        } catch (TimeoutException e) {
            closeQuietly(head);
            return outcome.failed("silent");
        }
    }

    private static void closeQuietly(HttpResponse<InputStream> head) {
        try {
            head.body().close();
        } catch (IOException e) {
            // The connection is no longer used.
        }
    }

    private static String reason(Throwable cause) {
        if (cause instanceof ConnectException) {
            return "connection refused";
        }
        return cause instanceof HttpTimeoutException ? "silent" : "connection broken";
    }

    private static HttpRequest request(
            Call call, Balancer.Target target, String id, Duration limit) {
        String path =
                call.isModel()
                        ? "/v1/chat/completions"
                        : "/v1/services/"
                                + call.trafficClass().kind().service()
                                + '/'
                                + call.trafficClass().operation();
        HttpRequest.Builder request =
                HttpRequest.newBuilder(target.uri().resolve(path))
                        .timeout(limit)
                        .header("Authorization", "Bearer " + call.token())
                        .header("Content-Type", "application/json")
                        .header("X-Request-Id", id)
                        .header("X-Bronzehill-Kind", call.trafficClass().name())
                        .header(
                                "X-Bronzehill-Deadline-Ms",
                                Long.toString(call.trafficClass().callerDeadline().toMillis()))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body(call)));
        if (!call.key().isEmpty()) {
            request.header("Idempotency-Key", call.key());
        }
        return request.build();
    }

    private static byte[] body(Call call) {
        ObjectNode body = Json.object();
        if (call.isModel()) {
            body.put("model", call.adapter());
            body.put("stream", call.stream());
            body.put("max_tokens", call.tokens());
            body.putArray("messages")
                    .add(message("system", "You help with " + call.trafficClass().name() + "."))
                    .add(message("user", call.prompt()));
        } else {
            body.put("request", call.prompt());
        }
        return Json.bytes(body);
    }

    private static ObjectNode message(String role, String content) {
        return Json.object().put("role", role).put("content", content);
    }

    /** Collects the data of an attempt until its end. */
    private static final class OutcomeBuilder {
        private static final String PREFIX = "X-Bronzehill-";

        private final Call call;
        private final String instance;
        private final long sentMs;
        private String requestId;
        private HttpResponse<?> response;

        OutcomeBuilder(Call call, String instance, long sentMs, String requestId) {
            this.call = call;
            this.instance = instance;
            this.sentMs = sentMs;
            this.requestId = requestId;
        }

        void head(HttpResponse<?> head) {
            response = head;
            requestId = header("Request-Id", requestId);
        }

        AttemptOutcome failed(String reason) {
            return build(null, reason, false);
        }

        AttemptOutcome complete(byte[] body) {
            String text = new String(body, StandardCharsets.UTF_8);
            ResultCode code = code(text);
            if (code == null) {
                return build(null, "status " + response.statusCode() + " without a result", false);
            }
            return build(code, "", code.isSuccess() && AnswerCheck.isCorrect(call, text));
        }

        /**
         * Returns the result code, or null if there is none. Its number is in a header, in a
         * comment of the last event of a stream, or in the error body.
         */
        private ResultCode code(String body) {
            String number = header("Result", "");
            if (number.isEmpty()) {
                number = AnswerCheck.streamResult(body);
            }
            if (number.isEmpty()) {
                byte[] json = body.getBytes(StandardCharsets.UTF_8);
                number = Json.parse(json).at("/error/number").asText();
            }
            try {
                return number.isEmpty() ? null : ResultCode.ofNumber(Integer.parseInt(number));
            } catch (NumberFormatException e) {
                return null;
            }
        }

        private AttemptOutcome build(ResultCode code, String failure, boolean correct) {
            return new AttemptOutcome(
                    call,
                    instance,
                    sentMs,
                    requestId,
                    code,
                    failure,
                    header("Adapter", ""),
                    (int) number("Adapter-Version", 0),
                    (long) number("Configuration", 0),
                    header("Upstream", ""),
                    correct);
        }

        private String header(String name, String fallback) {
            return response == null
                    ? fallback
                    : response.headers().firstValue(PREFIX + name).orElse(fallback);
        }

        private double number(String name, double fallback) {
            JsonNode node = Json.parse(header(name, "").getBytes(StandardCharsets.UTF_8));
            return node.isNumber() ? node.asDouble() : fallback;
        }
    }
}
