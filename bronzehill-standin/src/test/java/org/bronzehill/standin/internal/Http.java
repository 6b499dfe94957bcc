package org.bronzehill.standin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** HTTP client for a stand-in under test. */
final class Http {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String base;

    private Http(String base) {
        this.base = base;
    }

    static Http of(HttpServer server) {
        return new Http("http://127.0.0.1:" + server.port());
    }

    /** Answer of a call. */
    record Reply(int status, JsonNode json, String text) {}

    Reply get(String path) {
        return send("GET", path, "").join();
    }

    Reply put(String path, String body) {
        return send("PUT", path, body).join();
    }

    Reply post(String path, String body, String... headers) {
        return send("POST", path, body, headers).join();
    }

    CompletableFuture<Reply> send(String method, String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(base + path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(
                        r -> new Reply(r.statusCode(), Json.parse(r.body().getBytes()), r.body()));
    }

    /** Waits until a condition holds; fails after a timeout that no correct run reaches. */
    static void until(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("timed out waiting until " + what);
            }
            Thread.sleep(5);
        }
    }
}
