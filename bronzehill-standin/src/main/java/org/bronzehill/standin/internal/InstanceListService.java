package org.bronzehill.standin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates the instance list service. {@code PUT /standin/list/instances/{id}} and {@code
 * /standin/list/upstreams/{id}} merge the fields of the body into an entry, and {@code DELETE}
 * removes the entry. Each change increments the version and becomes visible after the lag.
 */
public final class InstanceListService extends StandinService {

    private static final String CONTROL_PREFIX = "/standin/list/";

    private final Map<String, ObjectNode> instances = new TreeMap<>();
    private final Map<String, ObjectNode> upstreams = new TreeMap<>();
    private final long lagMs;
    private long version;
    private byte[] visible;

    private InstanceListService(String id, long lagMs) {
        super("instance-list", id);
        this.lagMs = lagMs;
        this.visible = render();
    }

    /** Creates an empty list whose changes become visible after {@code lagMs}. */
    public static InstanceListService create(String id, long lagMs) {
        return new InstanceListService(id, lagMs);
    }

    /** Replaces the list with a document in the format of {@code GET /v1/instances}. */
    public synchronized void load(JsonNode document) {
        instances.clear();
        upstreams.clear();
        document.path("instances").forEach(e -> put(instances, e.path("id").asText(), e));
        document.path("upstreams").forEach(e -> put(upstreams, e.path("id").asText(), e));
        version = Math.max(version + 1, document.path("version").asLong());
        visible = render();
    }

    @Override
    protected synchronized void handle(Exchange exchange) {
        if (exchange.matches("GET", "/v1/instances")) {
            ledger.count("calls", "instances");
            exchange.respond(200, "application/json", visible);
        } else {
            exchange.error(404, "unknown_path");
        }
    }

    @Override
    protected synchronized boolean handleRoleControl(Exchange exchange) {
        if (!exchange.path().startsWith(CONTROL_PREFIX)) {
            return false;
        }
        String[] parts = exchange.path().substring(CONTROL_PREFIX.length()).split("/");
        Map<String, ObjectNode> table =
                parts[0].equals("instances")
                        ? instances
                        : parts[0].equals("upstreams") ? upstreams : null;
        if (table == null || parts.length != 2) {
            return false;
        }
        if (exchange.method().equals("PUT") && exchange.json().isObject()) {
            put(table, parts[1], exchange.json());
        } else if (!exchange.method().equals("DELETE") || table.remove(parts[1]) == null) {
            return false;
        }
        version++;
        byte[] next = render();
        timer.after(lagMs + faults.number("reportLagMs"), () -> publish(next));
        exchange.respond(200, Map.of("version", version));
        return true;
    }

    private static void put(Map<String, ObjectNode> table, String id, JsonNode fields) {
        ObjectNode entry = table.computeIfAbsent(id, k -> Json.object().put("state", "live"));
        entry.setAll((ObjectNode) fields);
        entry.put("id", id);
    }

    private synchronized void publish(byte[] next) {
        visible = next;
    }

    private byte[] render() {
        return Json.bytes(
                Map.of(
                        "version", version,
                        "instances", instances.values(),
                        "upstreams", upstreams.values()));
    }

    @Override
    protected synchronized void describe(Map<String, Object> view) {
        view.put("version", version);
    }
}
