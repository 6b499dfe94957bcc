package org.bronzehill.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationBase;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.KindSpec;
import org.bronzehill.config.Limits;
import org.bronzehill.config.Policy;
import org.bronzehill.config.TeamSpec;
import org.bronzehill.config.Urgency;

/**
 * Fake configuration service, instance list, engine and application runner on one port. The content
 * of a request's first message selects what the engine does with it.
 */
final class FakePlatform implements AutoCloseable {

    static final String TOKEN = "token-1";
    static final int TOKENS = 4;

    final List<String> traceparents = new CopyOnWriteArrayList<>();
    final CountDownLatch release = new CountDownLatch(1);
    final CountDownLatch holdReached = new CountDownLatch(1);
    private final ObjectMapper mapper = new ObjectMapper();
    private final ConfigurationImage image = ImageCodec.encode(configuration());
    private final Set<String> handles = ConcurrentHashMap.newKeySet();
    private final HttpServer server;
    private volatile int peerPort;

    FakePlatform() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task);
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", this::handle);
        server.start();
    }

    URI uri() {
        return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    }

    void setPeerPort(int port) {
        peerPort = port;
    }

    private static Configuration configuration() {
        Duration deadline = Duration.ofSeconds(30);
        Duration silence = Duration.ofSeconds(5);
        KindSpec chat =
                new KindSpec("chat", Urgency.INTERACTIVE, deadline, false, false, 1, "", silence);
        KindSpec lookup =
                new KindSpec("lookup", Urgency.PROMPT, deadline, false, true, 1, "pickup", silence);
        TeamSpec team =
                new TeamSpec(
                        "m-1",
                        1,
                        Set.of("chat", "lookup"),
                        Set.of("g-1"),
                        Map.of(
                                ImageCodec.hash(TOKEN.getBytes(StandardCharsets.UTF_8)),
                                "caller-1"));
        return Configuration.of(
                7,
                new ConfigurationBase(
                        Set.of("base"),
                        Map.of("chat", chat, "lookup", lookup),
                        Map.of("m-1", team),
                        Limits.DEFAULTS,
                        Policy.DEFAULTS),
                List.of(
                        new AdapterSpec(
                                "a-1", "base", "g-1", Map.of(3, "weights-3"), Map.of("*", 3))));
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (path.equals("/v1/manifest")) {
            manifest(exchange);
        } else if (path.startsWith("/v1/shards/")) {
            answer(exchange, 200, image.shards().get(path.substring("/v1/shards/".length())));
        } else if (path.equals("/v1/instances")) {
            answer(exchange, 200, list());
        } else if (path.equals("/v1/report")) {
            answer(exchange, 200, report());
        } else if (path.equals("/v1/load_lora_adapter")) {
            handles.add(mapper.readTree(body).path("lora_name").asText());
            answer(exchange, 200, "{}");
        } else if (path.equals("/v1/chat/completions")) {
            complete(exchange, mapper.readTree(body));
        } else if (path.startsWith("/services/")) {
            answer(exchange, 200, "{\"found\":true}");
        } else {
            answer(exchange, 404, "{}");
        }
    }

    private void manifest(HttpExchange exchange) throws IOException {
        if (exchange.getRequestURI().getQuery().contains("have=7")) {
            // A long poll that is never answered; the client ends it with its own timeout.
            return;
        }
        answer(exchange, 200, ImageCodec.encodeManifest(image.manifest()));
    }

    private String list() {
        return """
                {"version": 1,
                 "instances": [{"id": "entry-1", "host": "127.0.0.1", "port": %d,
                   "dataCentre": "dc-1", "region": "r-1", "state": "live"}],
                 "upstreams": [
                   {"id": "engine-1", "kind": "engine", "uri": "%s", "dataCentre": "dc-1",
                    "region": "r-1", "state": "live", "baseModel": "base", "adapterSlots": 8,
                    "batchSize": 8, "checksFencing": true, "services": []},
                   {"id": "runner-1", "kind": "application-runner", "uri": "%s",
                    "dataCentre": "dc-1", "region": "r-1", "state": "live",
                    "services": ["pickup"]}]}"""
                .formatted(peerPort, uri(), uri());
    }

    private String report() {
        String loaded =
                handles.stream()
                        .map(h -> "{\"handle\":\"" + h + "\",\"loading\":false,\"running\":0}")
                        .collect(Collectors.joining(","));
        return "{\"engine\":\"engine-1\",\"startNumber\":1,\"stampMs\":"
                + System.currentTimeMillis()
                + ",\"highestFencing\":0,\"handles\":["
                + loaded
                + "],\"running\":0,\"waiting\":0}";
    }

    private void complete(HttpExchange exchange, JsonNode body) throws IOException {
        traceparents.add(String.valueOf(exchange.getRequestHeaders().getFirst("traceparent")));
        String task = body.path("messages").path(0).path("content").asText();
        if (!body.path("stream").asBoolean()) {
            answer(
                    exchange,
                    200,
                    "{\"object\":\"chat.completion\",\"model\":" + body.path("model") + "}");
            return;
        }
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int i = 0; i < TOKENS; i++) {
                String delta = "{\"choices\":[{\"delta\":{\"content\":\"t" + i + "\"}}]}";
                out.write(("data: " + delta + "\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
                if (i == 1 && task.equals("hold")) {
                    holdReached.countDown();
                    awaitRelease();
                }
                if (i == 1 && task.equals("stall")) {
                    awaitRelease();
                }
                if (i == 1 && task.equals("break")) {
                    return;
                }
            }
            out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        }
    }

    private void awaitRelease() {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        answer(exchange, status, body.getBytes(StandardCharsets.UTF_8));
    }

    private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
