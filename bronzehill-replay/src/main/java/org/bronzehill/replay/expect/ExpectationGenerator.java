package org.bronzehill.replay.expect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceRecord;

/**
 * Derives the expected outcomes of a generated trace from its records alone, without a replay: the
 * results that each caller may receive, and the adapter versions that may answer.
 */
public final class ExpectationGenerator {

    private static final double MIN_SUCCESS_WITHOUT_FAULTS = 0.97;
    private static final double MIN_SUCCESS_WITH_FAULTS = 0.75;

    private final Trace trace;
    private final Set<String> disconnected = new HashSet<>();
    private final Map<String, List<TraceRecord.Publish>> publications = new HashMap<>();

    /** Whether a fault can interrupt an attempt, so that it is unknown whether the request ran. */
    private boolean attemptFaults;

    private boolean instanceLoss;
    private boolean otherFaults;

    private ExpectationGenerator(Trace trace) {
        this.trace = trace;
    }

    /** Returns the expectations of a trace. */
    public static List<Expectation> of(Trace trace) {
        ExpectationGenerator g = new ExpectationGenerator(trace);
        trace.records().forEach(g::collect);
        List<Expectation> all = new ArrayList<>();
        boolean faulty = g.attemptFaults || g.instanceLoss || g.otherFaults;
        all.add(Expectation.ofTrace(faulty ? MIN_SUCCESS_WITH_FAULTS : MIN_SUCCESS_WITHOUT_FAULTS));
        trace.records().forEach(r -> g.addExpectation(r, all));
        return all;
    }

    private void collect(TraceRecord r) {
        if (r instanceof TraceRecord.CallerGone c) {
            disconnected.add(c.id());
        } else if (r instanceof TraceRecord.Publish p) {
            p.pins()
                    .keySet()
                    .forEach(a -> publications.computeIfAbsent(a, k -> new ArrayList<>()).add(p));
        } else if (r instanceof TraceRecord.EngineRestart
                || r instanceof TraceRecord.Silence
                || r instanceof TraceRecord.Pause
                || r instanceof TraceRecord.Partition
                || r instanceof TraceRecord.SlowLinks
                || r instanceof TraceRecord.Model m && m.crashes()) {
            attemptFaults = true;
        } else if (r instanceof TraceRecord.Kill) {
            instanceLoss = true;
            attemptFaults = true;
        } else if (!(r instanceof TraceRecord.Model) && !(r instanceof TraceRecord.Service)) {
            otherFaults = true;
        }
    }

    private void addExpectation(TraceRecord r, List<Expectation> all) {
        String id = Expectations.idOf(r);
        if (id.isEmpty() || disconnected.contains(id)) {
            return;
        }
        if (r instanceof TraceRecord.Model m) {
            all.add(Expectation.of(id, modelOutcomes(m), versions(m)));
        } else if (r instanceof TraceRecord.Service s) {
            all.add(Expectation.of(id, serviceOutcomes(s), List.of()));
        }
    }

    /** Returns whether the deadline of the request may pass only after the end of the trace. */
    private boolean mayOutlastTrace(TraceRecord.Model m) {
        return Deployment.named(trace.header().deployment()).kinds().stream()
                .filter(k -> k.name().equals(m.kind()))
                .anyMatch(k -> m.at() + k.deadline().toMillis() > trace.durationMs());
    }

    private List<String> modelOutcomes(TraceRecord.Model m) {
        if (!m.caller().equals(Deployment.callerForAdapter(m.adapter()))) {
            return withInstanceLoss(withRefusals(new ArrayList<>(List.of("NOT_ENTITLED"))));
        }
        List<String> outcomes = new ArrayList<>();
        if (m.crashes()) {
            outcomes.addAll(List.of("CRASHES_UPSTREAMS", "MAY_HAVE_RUN"));
            return withInstanceLoss(withRefusals(outcomes));
        }
        outcomes.add("OK");
        if (mayOutlastTrace(m)) {
            outcomes.add(Expectations.NO_ANSWER);
        }
        if (attemptFaults) {
            outcomes.add("MAY_HAVE_RUN");
        } else if (otherFaults) {
            // If the holder of an attempt has not answered by the deadline, the instance that
            // serves the caller does not know whether the request has run, and returns this code.
            outcomes.add("DEADLINE_PASSED");
        }
        return withInstanceLoss(withRefusals(outcomes));
    }

    private List<String> serviceOutcomes(TraceRecord.Service s) {
        List<String> outcomes = new ArrayList<>(List.of("OK"));
        if (!s.key().isEmpty()) {
            outcomes.add("RECORDED_ANSWER");
        }
        if (attemptFaults || otherFaults) {
            outcomes.add("MAY_HAVE_RUN");
        }
        return withInstanceLoss(withRefusals(outcomes));
    }

    /**
     * Accepts refusals of a request that is not expected to be refused as not entitled. The
     * expected share of successes limits how many requests may be refused.
     */
    private static List<String> withRefusals(List<String> outcomes) {
        if (!outcomes.contains("NOT_ENTITLED")) {
            outcomes.add("NOT_RUN");
        }
        return outcomes;
    }

    private List<String> withInstanceLoss(List<String> outcomes) {
        if (instanceLoss && !outcomes.contains(Expectations.NO_ANSWER)) {
            outcomes.add(Expectations.NO_ANSWER);
            if (!outcomes.contains("NOT_RUN")) {
                outcomes.add("NOT_READY");
            }
        }
        return outcomes;
    }

    /** Returns all versions of the adapter that the trace pins at any time. */
    private List<Integer> versions(TraceRecord.Model m) {
        TreeSet<Integer> versions = new TreeSet<>();
        int before = 1;
        for (TraceRecord.Publish p : publications.getOrDefault(m.adapter(), List.of())) {
            versions.add(before);
            before = p.pins().get(m.adapter());
        }
        versions.add(before);
        return List.copyOf(versions);
    }
}
