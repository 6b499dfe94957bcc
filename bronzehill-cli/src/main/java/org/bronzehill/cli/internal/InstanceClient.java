package org.bronzehill.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.URL;

/** Client of the HTTP interface of an entry instance. */
public final class InstanceClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final URL base;

    private InstanceClient(URL base) {
        this.base = base;
    }

    /** Creates a client for an instance such as {@code http://10.1.0.4:8080}. */
    public static InstanceClient of(String uri) throws IOException {
        try {
            return new InstanceClient(URI.create(uri).toURL());
        } catch (IllegalArgumentException e) {
            throw new IOException(uri + " is not a valid URI: " + e.getMessage(), e);
        }
    }

    /** Returns the JSON document at a path, or the reason why it could not be read. */
    public Either<String, JsonNode> get(String path) {
        return exchange(HttpRequest.GET(path));
    }

    /** Posts a JSON document with an optional bearer token and returns the JSON answer. */
    public Either<String, JsonNode> post(String path, JsonNode body, String token) {
        MutableHttpRequest<String> request =
                HttpRequest.POST(path, body.toString())
                        .contentType(MediaType.APPLICATION_JSON_TYPE);
        return exchange(token.isEmpty() ? request : request.bearerAuth(token));
    }

    private Either<String, JsonNode> exchange(HttpRequest<?> request) {
        try (HttpClient client = HttpClient.create(base)) {
            String text = client.toBlocking().retrieve(request, String.class);
            return Either.right(MAPPER.readTree(text));
        } catch (HttpClientResponseException e) {
            String body = e.getResponse().getBody(String.class).orElse("");
            return Either.left(base + " answered " + e.getStatus().getCode() + ' ' + body);
        } catch (HttpClientException | IOException e) {
            return Either.left(base + " gave no valid answer: " + e.getMessage());
        }
    }
}
