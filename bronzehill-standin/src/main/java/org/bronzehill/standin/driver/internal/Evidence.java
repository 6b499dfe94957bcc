package org.bronzehill.standin.driver.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.result.ResultCode;

/**
 * What the promise checks compare: what callers were told, and what the ledgers of the stand-ins
 * say. The ledger of a crashed or killed stand-in is lost and not part of it.
 */
public final class Evidence {

    private final List<Told> told = new ArrayList<>();
    private final Map<Long, Configuration> declarations = new TreeMap<>();
    private final Map<String, Long> runs = new HashMap<>();
    private final Map<String, Set<String>> handles = new HashMap<>();
    private final Map<String, Long> actsByKey = new HashMap<>();
    private final Map<String, Long> actsByRequest = new HashMap<>();
    private final List<String> cutOff = new ArrayList<>();
    private final Map<String, Long> workAfterLeaving = new TreeMap<>();
    private final Set<String> graceful = new HashSet<>();
    private final List<String> uncleanStops = new ArrayList<>();
    private final Map<String, List<Long>> numbers = new TreeMap<>();
    private final Map<String, List<Long>> stalls = new TreeMap<>();
    private final Set<String> audited = new HashSet<>();
    private long publishedNumber;
    private long boundMs = Long.MAX_VALUE;
    private long steps;
    private long occupied;
    private long places;
    private long actsRecorded;
    private int lostLedgers;

    private Evidence() {}

    /** Creates evidence without any entry. */
    public static Evidence create() {
        return new Evidence();
    }

    /** Adds what callers were told. */
    public void addTold(List<Told> attempts) {
        told.addAll(attempts);
    }

    /** Adds a declaration that was in force at some time. */
    public void addDeclaration(Configuration configuration) {
        declarations.put(configuration.number(), configuration);
    }

    /** Adds the ledger of an engine. */
    public void addEngine(JsonNode ledger) {
        ledger.path("runs").fields().forEachRemaining(f -> sum(runs, f));
        ledger.path("handleByRequest")
                .fieldNames()
                .forEachRemaining(
                        n -> {
                            String[] parts = n.split(" ", 2);
                            handles.computeIfAbsent(parts[0], k -> new HashSet<>()).add(parts[1]);
                        });
        for (JsonNode v : ledger.path("violations")) {
            if (v.path("type").asText().equals("cut-off")) {
                cutOff.add(ledger.path("id").asText() + ": " + v);
            }
        }
        addLateWork(ledger);
        steps += ledger.path("steps").asLong();
        occupied += ledger.path("occupied").asLong();
        places += ledger.path("steps").asLong() * ledger.path("batchSize").asLong();
    }

    /** Notes that an engine ended with entries that nobody has read. */
    public void addLostLedger() {
        lostLedgers++;
    }

    /** Adds the ledger of an application runner. */
    public void addRunner(JsonNode ledger) {
        ledger.path("actsByKey").fields().forEachRemaining(f -> sum(actsByKey, f));
        ledger.path("actsByRequest").fields().forEachRemaining(f -> sum(actsByRequest, f));
        actsRecorded += ledger.at("/acts/recorded").asLong();
        addLateWork(ledger);
    }

    private void addLateWork(JsonNode ledger) {
        long late = ledger.at("/afterMark/runs").asLong() + ledger.at("/afterMark/loads").asLong();
        if (ledger.path("marked").asBoolean()) {
            workAfterLeaving.merge(ledger.path("id").asText(), late, Long::sum);
        }
    }

    private static void sum(Map<String, Long> into, Map.Entry<String, JsonNode> field) {
        into.merge(field.getKey(), field.getValue().asLong(), Long::sum);
    }

    /** Adds an audit record of an entry instance. */
    public void addAudit(JsonNode entry) {
        audited.add(entry.path("requestId").asText());
        if (entry.path("result").asInt() == ResultCode.OK.number()
                && entry.path("adapterVersion").asInt() > 0) {
            stalls.computeIfAbsent(entry.path("kind").asText(), k -> new ArrayList<>())
                    .add(entry.path("loadStallMs").asLong());
        }
    }

    /** Notes that an instance was stopped gracefully, and whether it ended as it should. */
    public void addGracefulStop(String instance, String problem) {
        graceful.add(instance);
        if (!problem.isEmpty()) {
            uncleanStops.add(instance + ": " + problem);
        }
    }

    /** Notes the configuration number that an incarnation of an instance shows. */
    public void sawNumber(String incarnation, long number) {
        numbers.computeIfAbsent(incarnation, k -> new ArrayList<>()).add(number);
    }

    /** Notes a published number, and the time of the load at which its 5 s had passed. */
    public void published(long number, long passedAtMs) {
        publishedNumber = number;
        boundMs = passedAtMs;
    }

    /** Returns the load stalls of complete model answers by kind, in ms and ascending. */
    Map<String, long[]> stalls() {
        Map<String, long[]> sorted = new TreeMap<>();
        stalls.forEach(
                (kind, list) ->
                        sorted.put(kind, list.stream().mapToLong(l -> l).sorted().toArray()));
        return sorted;
    }

    /** Returns how many answers told to callers have no audit record. */
    long unaudited() {
        return told.stream()
                .filter(t -> t.code() != null && !audited.contains(t.requestId()))
                .count();
    }

    List<Told> told() {
        return told;
    }

    Map<Long, Configuration> declarations() {
        return declarations;
    }

    boolean allLedgersKnown() {
        return lostLedgers == 0;
    }

    long totalRuns() {
        return runs.values().stream().mapToLong(Long::longValue).sum();
    }

    long runs(String requestId) {
        return runs.getOrDefault(requestId, 0L);
    }

    Set<String> handles(String requestId) {
        return handles.getOrDefault(requestId, Set.of());
    }

    Map<String, Long> actsByKey() {
        return actsByKey;
    }

    long actsOfRequest(String requestId) {
        return actsByRequest.getOrDefault(requestId, 0L);
    }

    long actsRecorded() {
        return actsRecorded;
    }

    List<String> cutOff() {
        return cutOff;
    }

    Map<String, Long> workAfterLeaving() {
        return workAfterLeaving;
    }

    Set<String> graceful() {
        return graceful;
    }

    List<String> uncleanStops() {
        return uncleanStops;
    }

    Map<String, List<Long>> numbers() {
        return numbers;
    }

    long publishedNumber() {
        return publishedNumber;
    }

    long boundMs() {
        return boundMs;
    }

    /** Returns how full the batches were when they ran; NaN if none ran. */
    double batchEfficiency() {
        return places == 0 ? Double.NaN : (double) occupied / places;
    }

    /** Returns the mean number of requests in a step. */
    double meanBatch() {
        return steps == 0 ? Double.NaN : (double) occupied / steps;
    }
}
