package org.bronzehill.standin.internal;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Simulates an application runner that provides plain services with lookups, which are requests
 * without an idempotency key, and once-only acts. It records every act that it receives and does
 * not deduplicate. Any runner of a plain service can return the answer of a recorded act, as if all
 * of them shared one record: a runner that has not recorded the act queries its siblings.
 */
public final class ApplicationRunner extends StandinService {

    private static final Duration SIBLING_TIMEOUT = Duration.ofSeconds(2);
    private static final double PROCESSING_MS = 15;

    private final List<String> services;
    private final List<URI> siblings;
    private final Map<String, byte[]> acts = new HashMap<>();
    private final HttpClient client = HttpClient.newHttpClient();

    private ApplicationRunner(String id, List<String> services, List<URI> siblings) {
        super("application-runner", id);
        this.services = List.copyOf(services);
        this.siblings = List.copyOf(siblings);
    }

    /** Creates a runner that provides {@code services}. */
    public static ApplicationRunner create(String id, List<String> services, List<URI> siblings) {
        return new ApplicationRunner(id, services, siblings);
    }

    @Override
    protected void handle(Exchange exchange) {
        String[] parts = exchange.path().split("/");
        if (parts.length < 4 || !parts[1].equals("services") || !services.contains(parts[2])) {
            exchange.error(404, "unknown_service");
        } else if (exchange.method().equals("GET") && parts.length == 5) {
            lookUpAct(exchange, parts[2] + '/' + parts[4]);
        } else if (exchange.method().equals("POST")) {
            crashOnMarker(exchange);
            timer.after(PROCESSING_MS, () -> run(exchange, parts[2], parts[3]));
        } else {
            exchange.error(405, "unknown_method");
        }
    }

    private void crashOnMarker(Exchange exchange) {
        String marker = faults.text("crashMarker");
        if (!marker.isEmpty() && exchange.text().contains(marker)) {
            crash();
        }
    }

    private void run(Exchange exchange, String service, String operation) {
        String requestId = exchange.header("X-Request-Id");
        String key = exchange.header("Idempotency-Key");
        countIfMarked("runs");
        Map<String, Object> answer = new HashMap<>();
        answer.put("service", service);
        answer.put("operation", operation);
        answer.put("runner", id());
        answer.put("echo", exchange.text());
        answer.put("key", key);
        byte[] body = Json.bytes(answer);
        if (key.isEmpty()) {
            ledger.count("lookups", requestId);
        } else {
            record(service + '/' + key, requestId, body);
            if (faults.consume("lostAnswers")) {
                ledger.count("acts", "answersLost");
                return;
            }
        }
        // The delay lies between the effect and the answer. A kill of the entry instance in this
        // window must not cause the act to be resent.
        timer.after(
                faults.number("answerDelayMs"),
                () -> exchange.respond(200, "application/json", body));
    }

    private synchronized void record(String key, String requestId, byte[] body) {
        ledger.count("actsByKey", key);
        ledger.count("actsByRequest", requestId);
        ledger.count("acts", "recorded");
        acts.putIfAbsent(key, body);
    }

    private synchronized byte[] findRecord(String key) {
        return acts.get(key);
    }

    private void lookUpAct(Exchange exchange, String key) {
        ledger.count("acts", "lookedUp");
        byte[] found = findRecord(key);
        if (found != null) {
            exchange.respond(200, "application/json", found);
        } else if (exchange.query("local", 0) == 1 || siblings.isEmpty()) {
            exchange.error(404, "unknown_act");
        } else {
            querySiblings(exchange);
        }
    }

    private void querySiblings(Exchange exchange) {
        List<CompletableFuture<HttpResponse<byte[]>>> calls =
                siblings.stream()
                        .map(s -> s.resolve(exchange.path() + "?local=1"))
                        .map(u -> HttpRequest.newBuilder(u).timeout(SIBLING_TIMEOUT).build())
                        .map(r -> client.sendAsync(r, HttpResponse.BodyHandlers.ofByteArray()))
                        .toList();
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .whenComplete((v, failure) -> answerLookup(exchange, calls));
    }

    /**
     * Answers with the record of a sibling that has one, and with 404 only if every sibling has
     * answered 404. In all other cases the record is unavailable.
     */
    private void answerLookup(
            Exchange exchange, List<CompletableFuture<HttpResponse<byte[]>>> calls) {
        boolean unknown = true;
        for (CompletableFuture<HttpResponse<byte[]>> call : calls) {
            if (call.isCompletedExceptionally()) {
                unknown = false;
            } else if (call.join().statusCode() == 200) {
                exchange.respond(200, "application/json", call.join().body());
                return;
            } else if (call.join().statusCode() != 404) {
                unknown = false;
            }
        }
        if (unknown) {
            exchange.error(404, "unknown_act");
        } else {
            String detail = "{\"error\":{\"code\":\"record_unavailable\"}}";
            exchange.respond(503, "application/json", detail.getBytes(StandardCharsets.UTF_8));
        }
    }

    @Override
    protected void describe(Map<String, Object> view) {
        view.put("services", services);
    }
}
