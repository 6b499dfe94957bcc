package org.bronzehill.standin.internal;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Transfers adapters from the weight store on behalf of an engine. */
final class StoreClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final URI store;

    private StoreClient(URI store) {
        this.store = store;
    }

    static StoreClient of(URI store) {
        return new StoreClient(store);
    }

    /** Starts a transfer; the result is whether the adapter arrived. */
    CompletableFuture<Boolean> fetch(String engine, String handle, String weights) {
        byte[] body = Json.bytes(Map.of("engine", engine, "handle", handle, "weights", weights));
        HttpRequest request =
                HttpRequest.newBuilder(store.resolve("/v1/transfers"))
                        .timeout(TIMEOUT)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .handle((r, failure) -> failure == null && r.statusCode() == 200);
    }
}
