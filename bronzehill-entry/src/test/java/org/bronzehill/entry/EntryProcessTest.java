package org.bronzehill.entry;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.entry.settings.ProgramSettings;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests a complete instance through its HTTP endpoints, with a fake platform and fake upstreams.
 */
public class EntryProcessTest {

    private static final String CHAT = "/v1/chat/completions";
    private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";

    private final HttpClient client = HttpClient.newHttpClient();
    private final ObjectMapper mapper = new ObjectMapper();
    private FakePlatform platform;
    private EntryProcess process;
    private Path traceFile;

    @BeforeClass
    public void start() throws Exception {
        platform = new FakePlatform();
        int peerPort;
        try (ServerSocket free = new ServerSocket(0)) {
            peerPort = free.getLocalPort();
        }
        platform.setPeerPort(peerPort);
        Map<String, String> flags = new HashMap<>();
        flags.put("id", "entry-1");
        flags.put("data-centre", "dc-1");
        flags.put("region", "r-1");
        flags.put("http-port", "0");
        flags.put("peer-port", String.valueOf(peerPort));
        flags.put("configuration-uris", platform.uri().toString());
        flags.put("instance-list-uris", platform.uri().toString());
        traceFile = Files.createTempFile("recorded", ".trace");
        flags.put("record-trace", traceFile.toString());
        process = EntryProcess.start(ProgramSettings.read(flags, Map.of()).get());
        await().atMost(30, TimeUnit.SECONDS).until(() -> get("/health/ready").statusCode() == 200);
        await().atMost(30, TimeUnit.SECONDS)
                .until(() -> post(chat("warm", false)).statusCode() == 200);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        platform.release.countDown();
        process.close();
        platform.close();
        // Guards against a recorded trace that the replay tool cannot read.
        Trace trace = TraceFormat.read(traceFile);
        assertTrue(trace.records().size() > 1, "the trace holds " + trace.records().size());
        Files.delete(traceFile);
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + process.httpPort() + path);
    }

    private HttpResponse<String> get(String path) throws Exception {
        return client.send(HttpRequest.newBuilder(uri(path)).build(), BodyHandlers.ofString());
    }

    private HttpResponse<String> post(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), BodyHandlers.ofString());
    }

    private HttpRequest.Builder chat(String task, boolean stream) {
        return body(
                "{\"model\":\"a-1\",\"stream\":"
                        + stream
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
                        + task
                        + "\"}]}");
    }

    private HttpRequest.Builder body(String json) {
        return HttpRequest.newBuilder(uri(CHAT))
                .header("Authorization", "Bearer " + FakePlatform.TOKEN)
                .header("X-Bronzehill-Kind", "chat")
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json));
    }

    private static List<String> data(String body) {
        return body.lines()
                .filter(l -> l.startsWith("data:"))
                .map(l -> l.substring("data:".length()).strip())
                .collect(Collectors.toList());
    }

    /** Guards against a stream that client libraries of the OpenAI API cannot parse. */
    @Test
    public void streamsEventsThatClientLibrariesRead() throws Exception {
        HttpResponse<String> response = post(chat("plain", true));
        assertEquals(response.statusCode(), 200);
        assertTrue(
                response.headers()
                        .firstValue("content-type")
                        .orElse("")
                        .startsWith("text/event-stream"));
        List<String> data = data(response.body());
        assertEquals(data.size(), FakePlatform.TOKENS + 1, response.body());
        for (int i = 0; i < FakePlatform.TOKENS; i++) {
            JsonNode event = mapper.readTree(data.get(i));
            assertEquals(event.at("/choices/0/delta/content").asText(), "t" + i);
        }
        assertEquals(data.get(FakePlatform.TOKENS), "[DONE]");
        assertTrue(response.body().contains(": X-Bronzehill-Result: 1000"), response.body());
        assertProvenance(response);
    }

    private static void assertProvenance(HttpResponse<String> response) {
        Map<String, String> expected =
                Map.of(
                        "Adapter", "a-1",
                        "Adapter-Version", "3",
                        "Configuration", "7",
                        "Upstream", "engine-1",
                        "Entry", "entry-1");
        expected.forEach(
                (name, value) ->
                        assertEquals(
                                response.headers().firstValue("X-Bronzehill-" + name).orElse(""),
                                value,
                                name));
        assertTrue(response.headers().firstValue("X-Bronzehill-Request-Id").isPresent());
    }

    /** Guards against a body that differs from the engine's, and against a missing result code. */
    @Test
    public void answersInOneBody() throws Exception {
        HttpResponse<String> response = post(chat("plain", false));
        assertEquals(mapper.readTree(response.body()).path("object").asText(), "chat.completion");
        assertEquals(response.headers().firstValue("X-Bronzehill-Result").orElse(""), "1000");
        assertProvenance(response);
    }

    /** Guards against ending a stream with [DONE] after the engine closed its connection early. */
    @Test
    public void endsABrokenStreamWithAnErrorEvent() throws Exception {
        List<String> data = data(post(chat("break", true)).body());
        assertFalse(data.contains("[DONE]"));
        JsonNode error = mapper.readTree(data.get(data.size() - 1)).path("error");
        assertEquals(error.path("number").asInt(), 5002, data.toString());
        assertEquals(error.path("run_state").asText(), "may_have_run");
    }

    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {
            {chat("x", true).setHeader("Authorization", "Bearer wrong"), 401, 2003},
            {chat("x", true).setHeader("X-Bronzehill-Kind", "none"), 400, 2007},
            {chat("x", true).setHeader("X-Bronzehill-Deadline-Ms", "-5"), 400, 2006},
            {chat("x", true).setHeader("X-Bronzehill-Deadline-Ms", "soon"), 400, 2006},
            {body("{\"model\":"), 400, 2001},
            {body("[]"), 400, 2001},
            {body("{\"model\":\"a\\n1\",\"messages\":[{\"content\":\"x\"}]}"), 404, 2004},
            {body(""), 400, 2001},
            {body("{\"model\":\"a-1\",\"messages\":[]}"), 400, 2001},
            {body("{\"model\":\"a-9\",\"messages\":[{\"content\":\"x\"}]}"), 404, 2004},
            {
                body(
                        "{\"model\":\"a-1\",\"messages\":[{\"content\":\""
                                + "x".repeat(2_000_000)
                                + "\"}]}"),
                413,
                2002
            },
        };
    }

    /** Guards against refusals that client libraries cannot parse as errors with a number. */
    @Test(dataProvider = "refusals")
    public void refusesInTheOpenAiErrorFormat(HttpRequest.Builder request, int status, int number)
            throws Exception {
        HttpResponse<String> response = post(request);
        assertEquals(response.statusCode(), status, response.body());
        JsonNode error = mapper.readTree(response.body()).path("error");
        assertEquals(error.path("number").asInt(), number);
        assertEquals(error.path("run_state").asText(), "not_run");
        assertFalse(error.path("message").asText().isEmpty());
        String result = response.headers().firstValue("X-Bronzehill-Result").orElse("");
        assertEquals(result, String.valueOf(number));
        assertEquals(response.headers().firstValue("x-should-retry").orElse(""), "false");
    }

    /** Guards against application services that cannot be called through the instance. */
    @Test
    public void callsAnApplicationService() throws Exception {
        HttpRequest.Builder call =
                HttpRequest.newBuilder(uri("/v1/services/pickup/lookup"))
                        .header("Authorization", "Bearer " + FakePlatform.TOKEN)
                        .header("X-Bronzehill-Kind", "lookup")
                        .POST(HttpRequest.BodyPublishers.ofString("{}"));
        HttpResponse<String> response = post(call);
        assertEquals(response.body(), "{\"found\":true}");
        assertEquals(response.headers().firstValue("X-Bronzehill-Upstream").orElse(""), "runner-1");
    }

    /** Guards against trace context that is not propagated to the engine. */
    @Test
    public void propagatesTheTraceContext() throws Exception {
        platform.traceparents.clear();
        post(chat("plain", false).header("traceparent", "00-" + TRACE + "-b7ad6b7169203331-01"));
        assertTrue(
                platform.traceparents.stream().anyMatch(t -> t.contains(TRACE)),
                platform.traceparents.toString());
    }

    /** Guards against requests that continue after their callers have closed the connection. */
    @Test
    public void endsTheRequestOfADisconnectedCaller() throws Exception {
        HttpResponse<InputStream> response =
                client.send(chat("stall", true).build(), BodyHandlers.ofInputStream());
        assertTrue(response.body().read() >= 0);
        assertEquals(openRequests(), 1);
        response.body().close();
        await().until(() -> openRequests() == 0);
    }

    private int openRequests() throws Exception {
        return mapper.readTree(get("/status").body()).at("/counts/openRequests").asInt();
    }

    /** Guards against missing fields and metrics on the pages for operators and collectors. */
    @Test
    public void servesStatusMetricsAndExplanation() throws Exception {
        JsonNode status = mapper.readTree(get("/status").body());
        assertEquals(status.path("phase").asText(), "READY");
        assertEquals(status.at("/configuration/number").asInt(), 7);
        assertEquals(status.at("/upstreams/0/holder").asText(), "entry-1");
        assertTrue(status.path("queues").has("ring"), status.toString());
        String metrics = get("/metrics").body();
        assertTrue(metrics.contains("bronzehill_requests_total{"));
        for (CoreMetric metric : CoreMetric.values()) {
            String name = "\nbronzehill_" + metric.name().toLowerCase(Locale.ROOT);
            assertTrue(metrics.contains(name), name);
        }
        HttpRequest.Builder explain =
                HttpRequest.newBuilder(uri("/explain"))
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        "{\"model\":\"a-1\",\"kind\":\"chat\"}"));
        JsonNode explained = mapper.readTree(post(explain).body());
        assertEquals(explained.path("version").asInt(), 3);
        assertEquals(explained.at("/candidates/0/engine").asText(), "engine-1");
    }

    /** Guards against a drain that truncates a stream. Runs last, because it ends the instance. */
    @Test(priority = 1)
    public void finishesAStreamDuringADrain() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                client.sendAsync(chat("hold", true).build(), BodyHandlers.ofString());
        platform.holdReached.await();
        HttpRequest drain =
                HttpRequest.newBuilder(uri("/admin/drain"))
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        assertEquals(client.send(drain, BodyHandlers.ofString()).statusCode(), 202);
        await().until(() -> get("/health/ready").statusCode() == 503);
        HttpResponse<String> refused = post(chat("late", true));
        assertEquals(mapper.readTree(refused.body()).at("/error/number").asInt(), 4005);
        assertFalse(process.whenDrained().isDone());
        platform.release.countDown();
        List<String> data = data(response.get().body());
        assertEquals(data.get(data.size() - 1), "[DONE]");
        process.whenDrained().get(30, TimeUnit.SECONDS);
    }
}
