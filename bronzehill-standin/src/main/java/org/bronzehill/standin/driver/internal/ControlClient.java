package org.bronzehill.standin.driver.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.bronzehill.standin.internal.Json;

/** Client for the control routes of stand-ins and the status pages of entry instances. */
public final class ControlClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();

    private ControlClient() {}

    public static ControlClient create() {
        return new ControlClient();
    }

    /** Reads a JSON document with GET. */
    public JsonNode get(URI base, String path) throws IOException, InterruptedException {
        return send("GET", base, path, new byte[0]);
    }

    /** Sends a JSON document with PUT. */
    public JsonNode put(URI base, String path, Object body)
            throws IOException, InterruptedException {
        return send("PUT", base, path, Json.bytes(body));
    }

    /** Sends a JSON document with POST. */
    public JsonNode post(URI base, String path, Object body)
            throws IOException, InterruptedException {
        return send("POST", base, path, Json.bytes(body));
    }

    /** Reads a text document with GET. */
    public String text(URI base, String path) throws IOException, InterruptedException {
        return new String(bytes("GET", base, path, new byte[0]), StandardCharsets.UTF_8);
    }

    private JsonNode send(String method, URI base, String path, byte[] body)
            throws IOException, InterruptedException {
        return Json.parse(bytes(method, base, path, body));
    }

    private byte[] bytes(String method, URI base, String path, byte[] body)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(base.resolve(path))
                        .timeout(TIMEOUT)
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        HttpResponse<byte[]> response =
                client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() != 200) {
            throw new IOException(
                    method + ' ' + request.uri() + " returned status " + response.statusCode());
        }
        return response.body();
    }

    /** Returns whether a GET of the path returns status 200. */
    public boolean isReachable(URI base, String path) throws InterruptedException {
        try {
            get(base, path);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
