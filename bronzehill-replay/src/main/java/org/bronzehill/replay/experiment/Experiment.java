package org.bronzehill.replay.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.bronzehill.config.Urgency;
import org.bronzehill.replay.baseline.BaselineCore;
import org.bronzehill.replay.baseline.EngineChoice;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.harness.DecisionCore;
import org.bronzehill.replay.harness.Replay;
import org.bronzehill.replay.harness.SimulatedDurations;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceRecord;

/** Runs the placement policy and the baselines on the same trace and computes the bounds. */
public final class Experiment {

    /** Name of this project's placement policy in results. */
    public static final String POLICY = "bronzehill";

    private Experiment() {}

    /**
     * Results on one trace.
     *
     * @param stallBound lower bound of the p95 load stall of interactive model requests, in ns
     * @param stallBoundWithoutPrefetch the same if adapters are loaded only once they are
     *     requested, in ns
     * @param batchBound upper bound of the batch efficiency
     * @param batchBoundWithoutDelays the same for policies that do not delay interactive requests
     */
    public record Result(
            Trace trace,
            Deployment deployment,
            List<PolicyResult> policies,
            long stallBound,
            long stallBoundWithoutPrefetch,
            double batchBound,
            double batchBoundWithoutDelays) {

        /** Returns the result of the policy with the given name. */
        public PolicyResult policy(String name) {
            return policies.stream().filter(p -> p.name().equals(name)).findFirst().orElseThrow();
        }

        /** Returns a predicate that selects model requests of the most urgent class. */
        public Predicate<RequestOutcome> interactiveModelRequests() {
            return o -> o.isModelRequest() && isInteractive(deployment, o.kind());
        }
    }

    /** Returns whether the kind belongs to the most urgent class. */
    static boolean isInteractive(Deployment d, String kind) {
        return d.kinds().stream()
                .anyMatch(k -> k.name().equals(kind) && k.urgency() == Urgency.INTERACTIVE);
    }

    /** Returns the placement policy, the baselines and earlier versions of the policy by name. */
    public static Map<String, DecisionCore.Factory> policies() {
        Map<String, DecisionCore.Factory> all = new LinkedHashMap<>();
        all.put(POLICY, DecisionCore.entryCore());
        for (EngineChoice c : EngineChoice.values()) {
            all.put(c.label(), BaselineCore.factory(c));
        }
        ServiceLoader.load(EarlierPolicy.class).forEach(p -> all.put(p.name(), p.factory()));
        return all;
    }

    /**
     * Runs all policies and measures the requests that arrive at or after {@code measureFromMs}.
     * Loads, batch efficiency and its bounds are measured over the whole run.
     */
    public static Result run(Trace trace, long measureFromMs) {
        Deployment d = Deployment.named(trace.header().deployment());
        List<PolicyResult> results = new ArrayList<>();
        long measureFromNanos = measureFromMs * 1_000_000;
        policies()
                .forEach(
                        (name, factory) ->
                                results.add(
                                        PolicyResult.of(
                                                name,
                                                Replay.run(trace, factory),
                                                measureFromNanos)));
        return withBounds(trace, d, results, measureFromNanos);
    }

    private static Result withBounds(
            Trace trace, Deployment d, List<PolicyResult> results, long measureFromNanos) {
        List<RequestOutcome> all = requests(trace, d, m -> true);
        List<RequestOutcome> urgent =
                requests(trace, d, countsForStalls(trace)).stream()
                        .filter(
                                o ->
                                        o.arrivedNanos() >= measureFromNanos
                                                && isInteractive(d, o.kind()))
                        .toList();
        int slots = d.shape().engines() * d.shape().adapterSlots();
        boolean coldStart = measureFromNanos <= Replay.WARM_UP_MS * 1_000_000;
        Bound stalls = Bound.create(urgent, slots, d.limits(), coldStart);
        Bound batches = Bound.create(all, slots, d.limits(), coldStart);
        return new Result(
                trace,
                d,
                results,
                stalls.stallPercentile(0.95),
                stalls.stallPercentileWithoutPrefetch(0.95),
                batches.batchEfficiency(work(trace), d.shape().batchSize()),
                batches.batchEfficiencyWithoutDelays(
                        work(trace), urgentFlags(trace, d), d.shape().batchSize()));
    }

    private static List<TraceRecord.Model> models(Trace trace) {
        return trace.records().stream()
                .filter(TraceRecord.Model.class::isInstance)
                .map(TraceRecord.Model.class::cast)
                .sorted(Comparator.comparingLong(TraceRecord.Model::at))
                .toList();
    }

    private static boolean[] urgentFlags(Trace trace, Deployment d) {
        List<TraceRecord.Model> models = models(trace);
        boolean[] urgent = new boolean[models.size()];
        for (int i = 0; i < urgent.length; i++) {
            urgent[i] = isInteractive(d, models.get(i).kind());
        }
        return urgent;
    }

    private static long[] work(Trace trace) {
        return models(trace).stream()
                .mapToLong(m -> SimulatedDurations.runNanos(m.tokens()))
                .toArray();
    }

    /**
     * Returns a predicate that selects the requests whose stalls are counted: those of entitled
     * callers that do not disconnect.
     */
    private static Predicate<TraceRecord.Model> countsForStalls(Trace trace) {
        Set<String> disconnected =
                trace.records().stream()
                        .filter(TraceRecord.CallerGone.class::isInstance)
                        .map(r -> ((TraceRecord.CallerGone) r).id())
                        .collect(Collectors.toSet());
        return m ->
                !disconnected.contains(m.id())
                        && m.caller().equals(Deployment.callerForAdapter(m.adapter()));
    }

    private static List<RequestOutcome> requests(
            Trace trace, Deployment d, Predicate<TraceRecord.Model> selected) {
        Map<String, Long> budgets = new HashMap<>();
        d.kinds().forEach(k -> budgets.put(k.name(), k.deadline().toNanos()));
        return models(trace).stream()
                .filter(selected)
                .map(
                        m ->
                                new RequestOutcome(
                                        m.kind(),
                                        m.adapter(),
                                        m.caller(),
                                        m.at() * 1_000_000,
                                        0,
                                        budgets.get(m.kind()),
                                        0,
                                        true,
                                        null))
                .toList();
    }
}
