package org.bronzehill.standin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Injected faults of a stand-in, which can be read and changed over HTTP. */
public final class Faults {

    private final Map<String, Object> values = new LinkedHashMap<>();

    private Faults() {
        values.put("slowMs", 0L);
        values.put("answerDelayMs", 0L);
        values.put("reportLagMs", 0L);
        values.put("gapEvery", 0L);
        values.put("refuse", false);
        values.put("crashMarker", "");
        values.put("silentConnections", 0L);
        values.put("stale", false);
        values.put("ignoresFencing", false);
        values.put("failLoads", 0L);
        values.put("lostAnswers", 0L);
    }

    /** Creates a set with every fault disabled. */
    public static Faults create() {
        return new Faults();
    }

    /**
     * Applies the fields of {@code change}. Changes nothing if any field is invalid.
     *
     * @return the errors; empty if the change was applied
     */
    public synchronized List<String> merge(JsonNode change) {
        List<String> errors = new ArrayList<>();
        if (!change.isObject()) {
            errors.add("faults must be a JSON object");
            return errors;
        }
        Map<String, Object> next = new LinkedHashMap<>();
        change.fields().forEachRemaining(f -> check(f.getKey(), f.getValue(), next, errors));
        if (errors.isEmpty()) {
            values.putAll(next);
        }
        return errors;
    }

    private void check(String name, JsonNode value, Map<String, Object> next, List<String> errors) {
        Object now = values.get(name);
        if (now == null) {
            errors.add("unknown fault " + name);
        } else if (now instanceof Long && value.isIntegralNumber()) {
            next.put(name, value.asLong());
        } else if (now instanceof Boolean && value.isBoolean()) {
            next.put(name, value.asBoolean());
        } else if (now instanceof String && value.isTextual()) {
            next.put(name, value.asText());
        } else {
            errors.add(name + " must be a " + now.getClass().getSimpleName());
        }
    }

    /** Returns the values of all faults by name. */
    public synchronized Map<String, Object> view() {
        return new LinkedHashMap<>(values);
    }

    /** Returns whether a boolean fault is enabled. */
    public synchronized boolean isOn(String name) {
        return (Boolean) values.get(name);
    }

    /** Returns the value of a numeric fault. */
    public synchronized long number(String name) {
        return (Long) values.get(name);
    }

    /** Returns the value of a text fault. */
    public synchronized String text(String name) {
        return (String) values.get(name);
    }

    synchronized void set(String name, long value) {
        values.put(name, value);
    }

    /**
     * Consumes one occurrence of a counted fault and returns whether there was one. A negative
     * count is never used up.
     */
    synchronized boolean consume(String name) {
        long left = number(name);
        if (left > 0) {
            values.put(name, left - 1);
        }
        return left != 0;
    }
}
