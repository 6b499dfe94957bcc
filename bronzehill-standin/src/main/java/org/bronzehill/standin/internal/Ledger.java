package org.bronzehill.standin.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a stand-in has run, loaded and refused, by section and key. */
public final class Ledger {

    private final Map<String, Map<String, Long>> sections = new TreeMap<>();
    private final List<Map<String, String>> violations = new ArrayList<>();

    private Ledger() {}

    /** Creates an empty ledger. */
    public static Ledger create() {
        return new Ledger();
    }

    /** Counts one event. */
    public void count(String section, String key) {
        add(section, key, 1);
    }

    /** Adds to a count. */
    public synchronized void add(String section, String key, long amount) {
        sections.computeIfAbsent(section, s -> new TreeMap<>()).merge(key, amount, Long::sum);
    }

    /** Keeps the largest value seen. */
    public synchronized void max(String section, String key, long value) {
        sections.computeIfAbsent(section, s -> new TreeMap<>()).merge(key, value, Math::max);
    }

    /** Records that a rule of the outside system was violated. */
    public synchronized void violation(String type, String requestId, String handle) {
        violations.add(Map.of("type", type, "requestId", requestId, "handle", handle));
    }

    /** Returns a count; 0 if there is none. */
    public synchronized long get(String section, String key) {
        return sections.getOrDefault(section, Map.of()).getOrDefault(key, 0L);
    }

    /** Returns the violations so far. */
    public synchronized List<Map<String, String>> violations() {
        return List.copyOf(violations);
    }

    /** Returns a copy of all sections and the violations. */
    public synchronized Map<String, Object> view() {
        Map<String, Object> view = new LinkedHashMap<>();
        sections.forEach((name, counts) -> view.put(name, new TreeMap<>(counts)));
        view.put("violations", List.copyOf(violations));
        return view;
    }
}
