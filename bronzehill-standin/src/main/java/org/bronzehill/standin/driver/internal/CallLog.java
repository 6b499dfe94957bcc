package org.bronzehill.standin.driver.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzehill.standin.internal.Json;

/** Outcomes of all attempts of a run. Thread-safe. */
public final class CallLog {

    private final List<AttemptOutcome> outcomes = new ArrayList<>();
    private int neverSent;
    private int open;

    private CallLog() {}

    public static CallLog create() {
        return new CallLog();
    }

    /** Adds the outcome of an attempt. */
    public synchronized void add(AttemptOutcome attempt) {
        outcomes.add(attempt);
    }

    synchronized void callStarted() {
        open++;
    }

    /** Records the end of a call; {@code sent} is false if no instance became ready in time. */
    synchronized void callEnded(boolean sent) {
        open--;
        if (!sent) {
            neverSent++;
        }
    }

    /** Returns the number of calls in progress. */
    public synchronized int open() {
        return open;
    }

    /** Returns the number of calls for which no instance became ready in time. */
    public synchronized int neverSent() {
        return neverSent;
    }

    /** Returns the outcomes of all attempts so far. */
    public synchronized List<AttemptOutcome> outcomes() {
        return List.copyOf(outcomes);
    }

    /** Writes one JSON line for each attempt, from which the course of a call can be traced. */
    void write(Path file) throws IOException {
        List<String> lines = new ArrayList<>();
        for (AttemptOutcome outcome : outcomes()) {
            lines.add(
                    Json.object()
                            .put("call", outcome.call().index())
                            .put("kind", outcome.call().trafficClass().name())
                            .put("adapter", outcome.call().adapter())
                            .put("key", outcome.call().key())
                            .put("sentMs", outcome.sentMs())
                            .put("instance", outcome.instance())
                            .put("requestId", outcome.requestId())
                            .put("result", outcome.label())
                            .put("version", outcome.version())
                            .put("configuration", outcome.configurationNumber())
                            .put("upstream", outcome.upstream())
                            .put("whole", outcome.correct())
                            .toString());
        }
        Files.write(file, lines);
    }

    /** Returns the number of outcomes by kind and result. */
    public static Map<String, Map<String, Integer>> byKindAndResult(List<AttemptOutcome> outcomes) {
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        for (AttemptOutcome outcome : outcomes) {
            counts.computeIfAbsent(outcome.call().trafficClass().name(), k -> new TreeMap<>())
                    .merge(outcome.label(), 1, Integer::sum);
        }
        return counts;
    }
}
