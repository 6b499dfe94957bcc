package org.bronzehill.standin.internal;

import java.net.URI;
import java.util.List;
import java.util.Map;
import org.bronzehill.standin.Profile.EngineParameters;

/** Simulates an inference engine with continuous batching, adapter slots and a prefix cache. */
public final class Engine extends StandinService {

    private static final long REPORT_PERIOD_MS = 50;

    private final EngineOptions options;
    private final AdapterTable adapters;
    private final Batch batch;
    private final PrefixCache prefixes = PrefixCache.create();
    private final ReportHistory reports = ReportHistory.create();
    private final StoreClient store;
    private final long startNumber = System.currentTimeMillis();
    private long highestFencing;
    private long sequence;
    private boolean stepping;

    /**
     * Settings of an engine.
     *
     * @param store base URI of the weight store; null to simulate loads without a store
     * @param gapEvery every n-th cache event is dropped; 0 drops none
     */
    public record EngineOptions(
            String id,
            EngineParameters parameters,
            boolean checksFencing,
            long reportLagMs,
            long gapEvery,
            URI store) {}

    private Engine(EngineOptions options) {
        super("engine", options.id());
        this.options = options;
        this.adapters = AdapterTable.of(options.parameters().adapterSlots());
        this.batch = Batch.of(options.parameters());
        this.store = options.store() == null ? null : StoreClient.of(options.store());
    }

    /** Creates an engine with empty caches. */
    public static Engine create(EngineOptions options) {
        Engine engine = new Engine(options);
        engine.recordReport();
        engine.timer.every(REPORT_PERIOD_MS, engine::recordReport);
        return engine;
    }

    @Override
    protected void handle(Exchange exchange) {
        String path = exchange.path();
        if (exchange.matches("POST", "/v1/chat/completions")) {
            submit(exchange);
        } else if (exchange.matches("POST", "/v1/load_lora_adapter")) {
            load(exchange);
        } else if (exchange.matches("POST", "/v1/unload_lora_adapter")) {
            evict(exchange);
        } else if (exchange.matches("POST", "/v1/role")) {
            setRole(exchange);
        } else if (exchange.matches("GET", "/v1/report")) {
            long lag = options.reportLagMs() + faults.number("reportLagMs");
            exchange.respond(200, reports.asOf(nowMs(), lag));
        } else if (exchange.matches("GET", "/v1/cache_events")) {
            synchronized (this) {
                exchange.respond(200, prefixes.eventsAfter(exchange.query("after", 0), nowMs()));
            }
        } else if (exchange.method().equals("POST") && path.matches("/v1/requests/[^/]+/cancel")) {
            cancel(exchange, path.split("/")[3]);
        } else {
            exchange.error(404, "unknown_path");
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private synchronized void submit(Exchange exchange) {
        EngineRequest request = EngineRequest.of(exchange, sequence++);
        if (request.handle.isEmpty() || !exchange.json().path("messages").isArray()) {
            exchange.error(400, "malformed");
            return;
        }
        if (!adapters.isResident(request.handle)) {
            ledger.count("refused", "unknownHandle");
            exchange.error(404, "unknown_handle");
            return;
        }
        exchange.onClosed(() -> callerDisconnected(request));
        batch.add(request);
        if (!stepping) {
            stepping = true;
            step();
        }
    }

    private synchronized void callerDisconnected(EngineRequest request) {
        if (!batch.removeRunning(r -> r == request).isEmpty()) {
            adapters.addRunning(request.handle, -1);
            ledger.count("cancelled", request.requestId);
        }
        batch.removeWaiting(r -> r == request);
    }

    /** Fills the batch from the queue, runs one step of the batch and schedules the next step. */
    private synchronized void step() {
        fillBatch();
        if (batch.isIdle()) {
            stepping = false;
            return;
        }
        for (EngineRequest request : batch.step(nowMs())) {
            adapters.addRunning(request.handle, -1);
            ledger.count("completed", request.requestId);
            ledger.add("tokens", "produced", request.producedTokens());
            request.finish();
        }
        timer.after(batch.stepMs(), this::step);
    }

    private void fillBatch() {
        while (batch.hasRoom()) {
            EngineRequest request = batch.pollQueue();
            if (request == null) {
                return;
            }
            String marker = faults.text("crashMarker");
            if (!marker.isEmpty() && request.exchange.text().contains(marker)) {
                crash();
            }
            ledger.count("runs", request.requestId);
            ledger.count("runsByHandle", request.handle);
            ledger.count("handleByRequest", request.requestId + ' ' + request.handle);
            countIfMarked("runs");
            adapters.addRunning(request.handle, 1);
            long gap = faults.number("gapEvery");
            boolean cached =
                    prefixes.use(request.prefixHash, nowMs(), gap > 0 ? gap : options.gapEvery());
            batch.start(request, nowMs(), cached);
        }
    }

    /** Rejects an order with an old fencing number; returns whether it was rejected. */
    private boolean rejectIfFenced(Exchange exchange) {
        long fencing = exchange.header("X-Fencing-Number", 0);
        if (fencing >= highestFencing) {
            highestFencing = fencing;
            ledger.count("orders", "accepted");
            return false;
        }
        if (!checksFencing()) {
            ledger.count("orders", "oldAccepted");
            return false;
        }
        ledger.count("orders", "oldRefused");
        exchange.respond(
                409,
                Map.of(
                        "error",
                        Map.of("code", "fenced", "message", "old fencing number"),
                        "highest_fencing",
                        highestFencing));
        return true;
    }

    private boolean checksFencing() {
        return options.checksFencing() && !faults.isOn("ignoresFencing");
    }

    private synchronized void load(Exchange exchange) {
        String handle = exchange.json().path("lora_name").asText();
        if (rejectIfFenced(exchange)) {
            return;
        }
        switch (adapters.beginLoad(handle, exchange)) {
            case RESIDENT -> exchange.respond(200, Map.of("lora_name", handle));
            case FULL -> {
                ledger.count("refused", "full");
                exchange.error(507, "full");
            }
            case STARTED -> startLoad(handle, exchange.json().path("lora_path").asText());
            default -> ledger.count("refused", "loadJoined");
        }
    }

    private void startLoad(String handle, String weights) {
        ledger.count("loads", handle);
        countIfMarked("loads");
        if (faults.consume("failLoads")) {
            timer.after(1, () -> endLoad(handle, false));
        } else if (store == null) {
            timer.after(250, () -> endLoad(handle, true));
        } else {
            store.fetch(options.id(), handle, weights).thenAccept(ok -> endLoad(handle, ok));
        }
    }

    private synchronized void endLoad(String handle, boolean success) {
        ledger.count("loadResults", success ? "arrived" : "failed");
        for (Exchange order : adapters.endLoad(handle, success)) {
            if (success) {
                order.respond(200, Map.of("lora_name", handle));
            } else {
                order.error(502, "store_failed");
            }
        }
    }

    private synchronized void evict(Exchange exchange) {
        String handle = exchange.json().path("lora_name").asText();
        if (rejectIfFenced(exchange)) {
            return;
        }
        List<Exchange> loading = adapters.remove(handle);
        if (loading == null) {
            exchange.error(404, "unknown_handle");
            return;
        }
        ledger.count("evictions", handle);
        loading.forEach(order -> order.error(502, "store_failed"));
        for (EngineRequest request : batch.removeRunning(r -> r.handle.equals(handle))) {
            ledger.addViolation("cut-off", request.requestId, handle);
            request.abort("evicted");
        }
        for (EngineRequest request : batch.removeWaiting(r -> r.handle.equals(handle))) {
            ledger.count("refused", "evictedWhileWaiting");
            request.exchange.error(404, "unknown_handle");
        }
        exchange.respond(200, Map.of("lora_name", handle));
    }

    private synchronized void setRole(Exchange exchange) {
        if (!rejectIfFenced(exchange)) {
            ledger.count("roles", exchange.json().path("role").asText());
            exchange.respond(200, Map.of("role", exchange.json().path("role").asText()));
        }
    }

    private synchronized void cancel(Exchange exchange, String requestId) {
        List<EngineRequest> running = batch.removeRunning(r -> r.requestId.equals(requestId));
        List<EngineRequest> waiting = batch.removeWaiting(r -> r.requestId.equals(requestId));
        running.forEach(r -> adapters.addRunning(r.handle, -1));
        running.forEach(r -> ledger.count("cancelled", r.requestId));
        running.forEach(r -> r.abort("cancelled"));
        waiting.forEach(r -> r.exchange.error(499, "cancelled"));
        if (running.isEmpty() && waiting.isEmpty()) {
            exchange.error(404, "unknown_request");
        } else {
            exchange.respond(200, Map.of("cancelled", requestId));
        }
    }

    private synchronized void recordReport() {
        reports.add(
                nowMs(),
                Map.of(
                        "engine", options.id(),
                        "startNumber", startNumber,
                        "stampMs", System.currentTimeMillis(),
                        "highestFencing", checksFencing() ? highestFencing : 0,
                        "handles", adapters.view(),
                        "running", batch.running(),
                        "waiting", batch.waiting(),
                        "prefixes", prefixes.published(nowMs())));
    }

    @Override
    protected synchronized void describe(Map<String, Object> view) {
        view.put("startNumber", startNumber);
        view.put("batchSize", options.parameters().batchSize());
        view.put("steps", batch.steps());
        view.put("occupied", batch.requestsOverSteps());
        view.put("resident", adapters.view());
    }
}
