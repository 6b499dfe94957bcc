package org.bronzehill.entry.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.entry.runtime.Readiness;
import org.bronzehill.entry.telemetry.Metrics;

/** Endpoints for operators, the load balancer and the metrics collector. */
@Controller
final class OperatorController {

    private final Readiness readiness;
    private final Metrics metrics;
    private final StatusPages pages;
    private final ObjectMapper mapper = new ObjectMapper();

    OperatorController(Readiness readiness, Metrics metrics, StatusPages pages) {
        this.readiness = readiness;
        this.metrics = metrics;
        this.pages = pages;
    }

    @Get("/health/live")
    MutableHttpResponse<?> live() {
        return HttpResponse.ok(Map.of("live", true));
    }

    @Get("/health/ready")
    MutableHttpResponse<?> ready() {
        boolean ready = readiness.isReady();
        return HttpResponse.status(ready ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE)
                .body(Map.of("ready", ready, "reason", readiness.reason()));
    }

    @Get("/metrics")
    @Produces(MediaType.TEXT_PLAIN)
    String metrics() {
        return metrics.text();
    }

    @Get("/status")
    CompletableFuture<MutableHttpResponse<?>> status() {
        return pages.status().thenApply(HttpResponse::ok);
    }

    @Post("/explain")
    @Consumes(MediaType.ALL)
    CompletableFuture<MutableHttpResponse<?>> explain(@Nullable @Body byte[] body) {
        JsonNode query;
        try {
            query = mapper.readTree(body == null ? new byte[0] : body);
        } catch (IOException e) {
            query = mapper.nullNode();
        }
        if (!query.path("model").isTextual() || !query.path("kind").isTextual()) {
            return CompletableFuture.completedFuture(
                    HttpResponse.badRequest(
                            Map.of("error", "the body must name 'model' and 'kind'")));
        }
        return pages.explain(
                        query.path("model").asText(),
                        query.path("kind").asText(),
                        query.path("prefix_hash").asLong())
                .thenApply(HttpResponse::ok);
    }

    @Post("/admin/drain")
    @Consumes(MediaType.ALL)
    MutableHttpResponse<?> drain() {
        pages.drain();
        return HttpResponse.accepted().body(Map.of("draining", true));
    }
}
