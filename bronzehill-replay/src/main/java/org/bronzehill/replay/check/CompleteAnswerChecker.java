package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/**
 * P3: every request is answered exactly once, or not at all if its caller disconnects or its
 * instance ends first. A successful answer is complete and belongs to the request; the answer to a
 * model request also names the upstream and adapter version that produced it.
 */
public final class CompleteAnswerChecker implements Checker {

    /** Time after its deadline within which a request must be answered. */
    static final long ANSWER_GRACE_NANOS = 3_000_000_000L;

    @Override
    public List<Violation> check(RunResult run) {
        List<Violation> found = new ArrayList<>();
        Map<String, LogEvent.RequestArrived> open = new HashMap<>();
        Map<String, Set<String>> completed = new HashMap<>();
        Map<String, String> started = new HashMap<>();
        Set<String> answered = new HashSet<>();
        for (LogEvent e : run.log().events()) {
            if (e instanceof LogEvent.RequestArrived a) {
                open.put(a.request(), a);
            } else if (e instanceof LogEvent.CallerDisconnected l) {
                open.remove(l.request());
            } else if (e instanceof LogEvent.InstanceStateChanged p && p.state().equals("killed")) {
                open.values().removeIf(a -> a.entry().equals(p.entry()));
            } else if (e instanceof LogEvent.RunEnded r && r.outcome().equals("complete")) {
                completed
                        .computeIfAbsent(r.request(), k -> new HashSet<>())
                        .add(source(r.engine(), AdapterVersion.ofHandle(r.handle())));
            } else if (e instanceof LogEvent.RequestAnswered a) {
                LogEvent.RequestArrived arrived = open.remove(a.request());
                if (!answered.add(a.request())) {
                    found.add(violation(a, "answered more than once"));
                }
                checkAnswer(a, arrived, completed, found);
            }
        }
        reportUnanswered(run, open, found);
        return found;
    }

    private static String source(String engine, AdapterVersion adapter) {
        return engine + ' ' + adapter;
    }

    private static void checkAnswer(
            LogEvent.RequestAnswered a,
            LogEvent.RequestArrived arrived,
            Map<String, Set<String>> completed,
            List<Violation> found) {
        if (!a.complete()) {
            found.add(
                    violation(
                            a, "the answer is incomplete or contains content of another request"));
        }
        boolean model = arrived != null && !arrived.adapter().isEmpty();
        if (!model || !a.code().isSuccess()) {
            return;
        }
        AdapterVersion namedAdapter =
                new AdapterVersion(a.provenance().adapter(), a.provenance().version());
        String source = source(a.provenance().upstream(), namedAdapter);
        if (!completed.getOrDefault(a.request(), Set.of()).contains(source)) {
            found.add(
                    violation(
                            a,
                            "names " + source + " but completed on " + completed.get(a.request())));
        }
    }

    private static Violation violation(LogEvent.RequestAnswered a, String text) {
        return new Violation(
                "P3", a.at(), a.request() + " (" + a.code() + " by " + a.entry() + "): " + text);
    }

    private static void reportUnanswered(
            RunResult run, Map<String, LogEvent.RequestArrived> open, List<Violation> found) {
        List<LogEvent.InstanceStateChanged> stateChanges = Intervals.stateChanges(run);
        for (LogEvent.RequestArrived a : open.values()) {
            long dueNanos = a.at() + RequestBudgets.of(run, a) + ANSWER_GRACE_NANOS;
            long inactiveNanos =
                    Intervals.inactiveNanos(stateChanges, a.entry(), a.at(), run.endNanos());
            if (dueNanos + inactiveNanos < run.endNanos()) {
                found.add(
                        new Violation(
                                "P3",
                                dueNanos,
                                a.request() + " at " + a.entry() + " was not answered"));
            }
        }
    }
}
