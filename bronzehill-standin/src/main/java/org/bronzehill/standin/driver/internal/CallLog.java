package org.bronzehill.standin.driver.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzehill.standin.internal.Json;

/** Everything that callers were told during a run. Thread-safe. */
public final class CallLog {

    private final List<Told> told = new ArrayList<>();
    private int unanswered;
    private int open;

    private CallLog() {}

    /** Creates an empty log. */
    public static CallLog create() {
        return new CallLog();
    }

    /** Adds the outcome of one attempt. */
    public synchronized void add(Told attempt) {
        told.add(attempt);
    }

    synchronized void begun() {
        open++;
    }

    /** Counts the end of a call; {@code sent} is false if no instance was ready for it. */
    synchronized void ended(boolean sent) {
        open--;
        if (!sent) {
            unanswered++;
        }
    }

    /** Returns the number of calls in progress. */
    public synchronized int open() {
        return open;
    }

    /** Returns the number of calls for which no instance was ready in time. */
    public synchronized int unanswered() {
        return unanswered;
    }

    /** Returns every attempt so far. */
    public synchronized List<Told> told() {
        return List.copyOf(told);
    }

    /** Writes one JSON line for each attempt, to trace what happened to a call. */
    void write(Path file) throws IOException {
        List<String> lines = new ArrayList<>();
        for (Told t : told()) {
            lines.add(
                    Json.object()
                            .put("call", t.call().index())
                            .put("kind", t.call().traffic().name())
                            .put("adapter", t.call().adapter())
                            .put("key", t.call().key())
                            .put("sentMs", t.sentMs())
                            .put("instance", t.instance())
                            .put("requestId", t.requestId())
                            .put("result", t.label())
                            .put("version", t.version())
                            .put("configuration", t.configurationNumber())
                            .put("upstream", t.upstream())
                            .put("whole", t.whole())
                            .toString());
        }
        Files.write(file, lines);
    }

    /** Returns counts by kind and result. */
    public static Map<String, Map<String, Integer>> byKindAndResult(List<Told> told) {
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        for (Told t : told) {
            counts.computeIfAbsent(t.call().traffic().name(), k -> new TreeMap<>())
                    .merge(t.label(), 1, Integer::sum);
        }
        return counts;
    }
}
