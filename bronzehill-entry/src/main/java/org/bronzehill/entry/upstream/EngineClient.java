package org.bronzehill.entry.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;

/**
 * HTTP client of the engines: runs attempts, sends orders, which are management commands such as a
 * load, and reads reports and cache events.
 */
public final class EngineClient {

    /**
     * The lease holder reads a report every 250 ms, so a report that arrives later than this has
     * been superseded by several others.
     */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

    /** A load takes 250 ms, and proportionally longer when many adapters are loaded at once. */
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(10);

    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EventLoopGroup loops;
    private final ReadConnectionPool readConnections;
    private final UpstreamUris uris;
    private final InputSink inputs;
    private final Map<Long, RunningAttempt> runningAttempts = new ConcurrentHashMap<>();

    private record RunningAttempt(HttpExchange exchange, String engine, String requestId) {}

    private EngineClient(EventLoopGroup loops, UpstreamUris uris, InputSink inputs) {
        this.loops = loops;
        this.readConnections = ReadConnectionPool.create(loops.next());
        this.uris = uris;
        this.inputs = inputs;
    }

    /** Creates a client that reports to the core through {@code inputs}. */
    public static EngineClient create(EventLoopGroup loops, UpstreamUris uris, InputSink inputs) {
        return new EngineClient(loops, uris, inputs);
    }

    /**
     * Starts an attempt whose chunks go to {@code target}.
     *
     * @param provenanceChunk content of chunk 0
     * @param traceparent trace context of the attempt; empty for none
     */
    public void start(
            Effect.StartAttempt startEffect,
            byte[] provenanceChunk,
            String traceparent,
            ChunkTarget target) {
        long id = startEffect.attemptId();
        if (uris.of(startEffect.engine()).isEmpty()) {
            inputs.accept(new Input.AttemptFailed(id, FailureReason.NOT_SENT, 0, "unknown engine"));
            return;
        }
        byte[] body;
        try {
            body = engineBody(startEffect);
        } catch (IOException e) {
            inputs.accept(new Input.AttemptFailed(id, FailureReason.NOT_SENT, 0, "malformed body"));
            return;
        }
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put("X-Request-Id", startEffect.requestId());
        if (!traceparent.isEmpty()) {
            headers.put("traceparent", traceparent);
        }
        HttpCall call =
                new HttpCall(
                        "POST",
                        uris.of(startEffect.engine()).get().resolve("/v1/chat/completions"),
                        headers,
                        body,
                        startEffect.limits().idleTimeout(),
                        startEffect.limits().deadline());
        EngineAttempt attempt =
                new EngineAttempt(
                        startEffect,
                        provenanceChunk,
                        target,
                        input -> {
                            if (!(input instanceof Input.AttemptStarted)) {
                                runningAttempts.remove(id);
                            }
                            inputs.accept(input);
                        });
        HttpExchange exchange = HttpExchange.prepare(call, attempt, loops.next());
        attempt.bind(exchange);
        runningAttempts.put(
                id, new RunningAttempt(exchange, startEffect.engine(), startEffect.requestId()));
        exchange.begin();
    }

    private static byte[] engineBody(Effect.StartAttempt startEffect) throws IOException {
        JsonNode body = MAPPER.readTree(startEffect.body());
        if (!(body instanceof ObjectNode object)) {
            throw new IOException("the body is not a JSON object");
        }
        object.put("model", startEffect.handle());
        object.put("stream", startEffect.stream());
        object.put("priority", startEffect.limits().priority());
        return MAPPER.writeValueAsBytes(object);
    }

    /**
     * Cancels an attempt. Besides closing the connection, this sends a cancel request, because the
     * engine may not notice a closed socket.
     */
    public void cancel(long attemptId) {
        RunningAttempt attempt = runningAttempts.get(attemptId);
        if (attempt == null) {
            return;
        }
        attempt.exchange().cancel();
        uris.of(attempt.engine())
                .ifPresent(
                        uri ->
                                call(
                                        new HttpCall(
                                                "POST",
                                                uri.resolve(
                                                        "/v1/requests/"
                                                                + attempt.requestId()
                                                                + "/cancel"),
                                                Map.of(),
                                                new byte[0],
                                                CANCEL_TIMEOUT,
                                                CANCEL_TIMEOUT),
                                        BodyCollector.create(response -> {}, (r, d) -> {})));
    }

    /** Reads the state report of an engine. */
    public void readReport(String engine) {
        if (uris.of(engine).isEmpty()) {
            inputs.accept(new Input.EngineReportFailed(engine, "unknown engine"));
            return;
        }
        readConnections.read(
                HttpCall.get(uris.of(engine).get().resolve("/v1/report"), REPORT_TIMEOUT),
                BodyCollector.create(
                        response -> inputs.accept(ReportParser.parse(engine, response)),
                        (reason, detail) ->
                                inputs.accept(new Input.EngineReportFailed(engine, detail))));
    }

    /**
     * Reads the cache events of an engine after a sequence number. A failed read is not reported,
     * because the next read covers the same events.
     */
    public void readCacheEvents(String engine, long after) {
        uris.of(engine)
                .map(uri -> uri.resolve("/v1/cache_events?after=" + after))
                .ifPresent(
                        uri ->
                                call(
                                        HttpCall.get(uri, REPORT_TIMEOUT),
                                        BodyCollector.create(
                                                response ->
                                                        CacheEventParser.parse(
                                                                        engine, after, response)
                                                                .ifPresent(inputs::accept),
                                                (reason, detail) -> {})));
    }

    /** Sends an order to an engine and reports the outcome to the core. */
    public void sendOrder(Effect.OrderEngine order) {
        if (uris.of(order.engine()).isEmpty()) {
            inputs.accept(new Input.OrderAnswered(order.orderId(), OrderOutcome.UNKNOWN, 0));
            return;
        }
        HttpCall call =
                new HttpCall(
                        "POST",
                        uris.of(order.engine()).get().resolve(orderPath(order.kind())),
                        Map.of(
                                "Content-Type",
                                "application/json",
                                "X-Fencing-Number",
                                String.valueOf(order.fencing())),
                        orderBody(order).toString().getBytes(StandardCharsets.UTF_8),
                        ORDER_TIMEOUT,
                        ORDER_TIMEOUT);
        call(
                call,
                BodyCollector.create(
                        response ->
                                inputs.accept(OrderResponseParser.parse(order.orderId(), response)),
                        (reason, detail) ->
                                inputs.accept(
                                        new Input.OrderAnswered(
                                                order.orderId(), OrderOutcome.UNKNOWN, 0))));
    }

    private static String orderPath(OrderKind kind) {
        return switch (kind) {
            case LOAD -> "/v1/load_lora_adapter";
            case EVICT -> "/v1/unload_lora_adapter";
            case SET_ROLE -> "/v1/role";
        };
    }

    private static ObjectNode orderBody(Effect.OrderEngine order) {
        ObjectNode body = MAPPER.createObjectNode();
        switch (order.kind()) {
            case LOAD -> body.put("lora_name", order.handle()).put("lora_path", order.weights());
            case EVICT -> body.put("lora_name", order.handle());
            case SET_ROLE -> body.put("role", order.role());
            default -> throw new IllegalArgumentException("unknown order " + order.kind());
        }
        return body;
    }

    private void call(HttpCall call, HttpListener listener) {
        HttpExchange.prepare(call, listener, loops.next()).begin();
    }

    /** Returns the number of attempts in progress. */
    public int runningAttempts() {
        return runningAttempts.size();
    }
}
