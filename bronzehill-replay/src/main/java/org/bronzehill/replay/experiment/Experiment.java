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
import org.bronzehill.replay.harness.FakeServiceTimes;
import org.bronzehill.replay.harness.Replay;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceRecord;

/** Runs the policy and its baselines on the same trace and computes the bounds. */
public final class Experiment {

    /** Name of the real policy in results. */
    public static final String POLICY = "bronzehill";

    private Experiment() {}

    /**
     * Results on one trace.
     *
     * @param stallBound p95 of the stalls of urgent model requests that no policy can beat, in ns
     * @param demandBound the same if adapters are only loaded once they are asked for, in ns
     * @param batchBound batch efficiency that no policy can beat
     * @param undelayedBatchBound the same for policies that do not delay interactive requests
     */
    public record Result(
            Trace trace,
            Deployment deployment,
            List<PolicyResult> policies,
            long stallBound,
            long demandBound,
            double batchBound,
            double undelayedBatchBound) {

        /** Returns the result of the policy of that name. */
        public PolicyResult policy(String name) {
            return policies.stream().filter(p -> p.name().equals(name)).findFirst().orElseThrow();
        }

        /** Returns whether a request is a model request of the most urgent class. */
        public Predicate<RequestOutcome> urgentModel() {
            return o -> o.isModel() && isInteractive(deployment, o.kind());
        }
    }

    /** Returns whether the kind belongs to the most urgent class. */
    static boolean isInteractive(Deployment d, String kind) {
        return d.kinds().stream()
                .anyMatch(k -> k.name().equals(kind) && k.urgency() == Urgency.INTERACTIVE);
    }

    /** Returns the policy, its baselines and earlier versions by name. */
    public static Map<String, DecisionCore.Factory> policies() {
        Map<String, DecisionCore.Factory> all = new LinkedHashMap<>();
        all.put(POLICY, DecisionCore.entryCore());
        for (EngineChoice c : EngineChoice.values()) {
            all.put(c.label(), BaselineCore.factory(c));
        }
        ServiceLoader.load(EarlierPolicy.class).forEach(p -> all.put(p.name(), p.factory()));
        return all;
    }

    /** Runs all policies; measures requests that arrive at or after {@code fromMs}. */
    public static Result run(Trace trace, long fromMs) {
        Deployment d = Deployment.named(trace.header().deployment());
        List<PolicyResult> results = new ArrayList<>();
        long from = fromMs * 1_000_000;
        policies()
                .forEach(
                        (name, factory) ->
                                results.add(
                                        PolicyResult.of(name, Replay.run(trace, factory), from)));
        return bounded(trace, d, results, from);
    }

    private static Result bounded(
            Trace trace, Deployment d, List<PolicyResult> results, long from) {
        List<RequestOutcome> all = requests(trace, d, m -> true);
        List<RequestOutcome> urgent =
                requests(trace, d, mustBeServed(trace)).stream()
                        .filter(o -> o.arrived() >= from && isInteractive(d, o.kind()))
                        .toList();
        int slots = d.shape().engines() * d.shape().adapterSlots();
        boolean cold = from <= Replay.WARM_UP_MS * 1_000_000;
        Bound stalls = Bound.create(urgent, slots, d.limits(), cold);
        Bound batches = Bound.create(all, slots, d.limits(), cold);
        return new Result(
                trace,
                d,
                results,
                stalls.stallPercentile(0.95),
                stalls.demandStallPercentile(0.95),
                batches.batchEfficiency(work(trace), d.shape().batchSize()),
                batches.undelayedBatchEfficiency(
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
                .mapToLong(m -> FakeServiceTimes.runNanos(m.tokens()))
                .toArray();
    }

    /** Selects entitled requests whose callers stay; only they count as stalls. */
    private static Predicate<TraceRecord.Model> mustBeServed(Trace trace) {
        Set<String> gone =
                trace.records().stream()
                        .filter(TraceRecord.CallerGone.class::isInstance)
                        .map(r -> ((TraceRecord.CallerGone) r).id())
                        .collect(Collectors.toSet());
        return m ->
                !gone.contains(m.id())
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
