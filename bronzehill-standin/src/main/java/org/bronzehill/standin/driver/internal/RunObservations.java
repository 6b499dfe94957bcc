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
 * Input of the guarantee checks: the outcomes that callers received and the ledgers of the
 * stand-ins. Ledger entries of a crashed or killed stand-in that were not read before are missing.
 */
public final class RunObservations {

    private final List<AttemptOutcome> outcomes = new ArrayList<>();
    private final Map<Long, Configuration> declarations = new TreeMap<>();
    private final Map<String, Long> runsByRequest = new HashMap<>();
    private final Map<String, Set<String>> handlesByRequest = new HashMap<>();
    private final Map<String, Long> actsByKey = new HashMap<>();
    private final Map<String, Long> actsByRequest = new HashMap<>();
    private final List<String> cutOffRequests = new ArrayList<>();
    private final Map<String, Long> workAfterLeaving = new TreeMap<>();
    private final Set<String> gracefullyStopped = new HashSet<>();
    private final List<String> uncleanStops = new ArrayList<>();
    private final Map<String, List<Long>> observedNumbers = new TreeMap<>();
    private final Map<String, List<Long>> loadStalls = new TreeMap<>();
    private final Set<String> auditedRequests = new HashSet<>();
    private long publishedNumber;
    private long propagationBoundMs = Long.MAX_VALUE;
    private long steps;
    private long requestsOverSteps;
    private long capacityOverSteps;
    private long actsRecorded;
    private int lostLedgers;

    private RunObservations() {}

    /** Creates empty observations. */
    public static RunObservations create() {
        return new RunObservations();
    }

    /** Adds the outcomes of attempts. */
    public void addOutcomes(List<AttemptOutcome> attempts) {
        outcomes.addAll(attempts);
    }

    /** Adds a declaration that was in force at some time during the run. */
    public void addDeclaration(Configuration configuration) {
        declarations.put(configuration.number(), configuration);
    }

    /** Adds the ledger of an engine. */
    public void addEngineLedger(JsonNode ledger) {
        ledger.path("runs").fields().forEachRemaining(f -> addCount(runsByRequest, f));
        ledger.path("handleByRequest")
                .fieldNames()
                .forEachRemaining(
                        n -> {
                            String[] parts = n.split(" ", 2);
                            handlesByRequest
                                    .computeIfAbsent(parts[0], k -> new HashSet<>())
                                    .add(parts[1]);
                        });
        for (JsonNode v : ledger.path("violations")) {
            if (v.path("type").asText().equals("cut-off")) {
                cutOffRequests.add(ledger.path("id").asText() + ": " + v);
            }
        }
        addWorkAfterLeaving(ledger);
        steps += ledger.path("steps").asLong();
        requestsOverSteps += ledger.path("occupied").asLong();
        capacityOverSteps += ledger.path("steps").asLong() * ledger.path("batchSize").asLong();
    }

    /** Records that an engine ended with ledger entries that were not read. */
    public void addLostLedger() {
        lostLedgers++;
    }

    /** Adds the ledger of an application runner. */
    public void addRunnerLedger(JsonNode ledger) {
        ledger.path("actsByKey").fields().forEachRemaining(f -> addCount(actsByKey, f));
        ledger.path("actsByRequest").fields().forEachRemaining(f -> addCount(actsByRequest, f));
        actsRecorded += ledger.at("/acts/recorded").asLong();
        addWorkAfterLeaving(ledger);
    }

    /**
     * Adds the number of runs and loads that an upstream started after the bound for leaving.
     * Upstreams that were not told to count such work are left out.
     */
    private void addWorkAfterLeaving(JsonNode ledger) {
        long work = ledger.at("/afterMark/runs").asLong() + ledger.at("/afterMark/loads").asLong();
        if (ledger.path("marked").asBoolean()) {
            workAfterLeaving.merge(ledger.path("id").asText(), work, Long::sum);
        }
    }

    private static void addCount(Map<String, Long> into, Map.Entry<String, JsonNode> field) {
        into.merge(field.getKey(), field.getValue().asLong(), Long::sum);
    }

    /** Adds an audit record of an entry instance. */
    public void addAuditRecord(JsonNode entry) {
        auditedRequests.add(entry.path("requestId").asText());
        if (entry.path("result").asInt() == ResultCode.OK.number()
                && entry.path("adapterVersion").asInt() > 0) {
            loadStalls
                    .computeIfAbsent(entry.path("kind").asText(), k -> new ArrayList<>())
                    .add(entry.path("loadStallMs").asLong());
        }
    }

    /**
     * Records a graceful stop of an instance.
     *
     * @param problem empty if the process exited as expected
     */
    public void addGracefulStop(String instance, String problem) {
        gracefullyStopped.add(instance);
        if (!problem.isEmpty()) {
            uncleanStops.add(instance + ": " + problem);
        }
    }

    /** Records the configuration number on the status page of an incarnation. */
    public void addObservedNumber(String incarnation, long number) {
        observedNumbers.computeIfAbsent(incarnation, k -> new ArrayList<>()).add(number);
    }

    /**
     * Records the publication of a configuration.
     *
     * @param boundMs time after the start of the load at which the propagation bound of 5 s ends
     */
    public void setPublishedConfiguration(long number, long boundMs) {
        publishedNumber = number;
        propagationBoundMs = boundMs;
    }

    /**
     * Returns the times in ms for which successful model requests waited for an adapter load, by
     * kind and in ascending order.
     */
    Map<String, long[]> loadStalls() {
        Map<String, long[]> sorted = new TreeMap<>();
        loadStalls.forEach(
                (kind, list) ->
                        sorted.put(kind, list.stream().mapToLong(l -> l).sorted().toArray()));
        return sorted;
    }

    /** Returns the number of answers to callers without an audit record. */
    long outcomesWithoutAuditRecord() {
        return outcomes.stream()
                .filter(o -> o.code() != null && !auditedRequests.contains(o.requestId()))
                .count();
    }

    List<AttemptOutcome> outcomes() {
        return outcomes;
    }

    Map<Long, Configuration> declarations() {
        return declarations;
    }

    boolean allLedgersRead() {
        return lostLedgers == 0;
    }

    long totalRuns() {
        return runsByRequest.values().stream().mapToLong(Long::longValue).sum();
    }

    long runs(String requestId) {
        return runsByRequest.getOrDefault(requestId, 0L);
    }

    Set<String> handles(String requestId) {
        return handlesByRequest.getOrDefault(requestId, Set.of());
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

    List<String> cutOffRequests() {
        return cutOffRequests;
    }

    Map<String, Long> workAfterLeaving() {
        return workAfterLeaving;
    }

    Set<String> gracefullyStopped() {
        return gracefullyStopped;
    }

    List<String> uncleanStops() {
        return uncleanStops;
    }

    Map<String, List<Long>> observedNumbers() {
        return observedNumbers;
    }

    long publishedNumber() {
        return publishedNumber;
    }

    long propagationBoundMs() {
        return propagationBoundMs;
    }

    /** Returns the mean utilization of the batches over all steps; NaN if there was no step. */
    double batchEfficiency() {
        return capacityOverSteps == 0 ? Double.NaN : (double) requestsOverSteps / capacityOverSteps;
    }

    /** Returns the mean number of requests in a step; NaN if there was no step. */
    double meanBatchSize() {
        return steps == 0 ? Double.NaN : (double) requestsOverSteps / steps;
    }
}
