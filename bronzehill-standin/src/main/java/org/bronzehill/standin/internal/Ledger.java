package org.bronzehill.standin.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counters of a stand-in by section and key, such as requests run or refused and adapters loaded.
 */
public final class Ledger {

    private final Map<String, Map<String, Long>> sections = new TreeMap<>();
    private final List<Map<String, String>> violations = new ArrayList<>();

    private Ledger() {}

    public static Ledger create() {
        return new Ledger();
    }

    /** Increments a counter. */
    public void count(String section, String key) {
        add(section, key, 1);
    }

    /** Adds an amount to a counter. */
    public synchronized void add(String section, String key, long amount) {
        sections.computeIfAbsent(section, s -> new TreeMap<>()).merge(key, amount, Long::sum);
    }

    /** Raises a counter to {@code value} if it is lower. */
    public synchronized void recordMax(String section, String key, long value) {
        sections.computeIfAbsent(section, s -> new TreeMap<>()).merge(key, value, Math::max);
    }

    /** Records a violation of a rule of the simulated system. */
    public synchronized void addViolation(String type, String requestId, String handle) {
        violations.add(Map.of("type", type, "requestId", requestId, "handle", handle));
    }

    /** Returns the value of a counter, or 0 if it does not exist. */
    public synchronized long get(String section, String key) {
        return sections.getOrDefault(section, Map.of()).getOrDefault(key, 0L);
    }

    /** Returns all recorded violations. */
    public synchronized List<Map<String, String>> violations() {
        return List.copyOf(violations);
    }

    /** Returns a copy of all counters and violations. */
    public synchronized Map<String, Object> view() {
        Map<String, Object> view = new LinkedHashMap<>();
        sections.forEach((name, counts) -> view.put(name, new TreeMap<>(counts)));
        view.put("violations", List.copyOf(violations));
        return view;
    }
}
