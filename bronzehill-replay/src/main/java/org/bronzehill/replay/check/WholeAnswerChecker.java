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
 * P3: every caller gets one answer; a successful one is whole, belongs to its own request, and
 * names the upstream and adapter version that produced it.
 */
public final class WholeAnswerChecker implements Checker {

    /** Time after its deadline within which every request must have ended. */
    static final long GRACE_NANOS = 3_000_000_000L;

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
            } else if (e instanceof LogEvent.InstanceStateChanged p && p.what().equals("killed")) {
                open.values().removeIf(a -> a.entry().equals(p.entry()));
            } else if (e instanceof LogEvent.RunEnded r && r.how().equals("complete")) {
                completed
                        .computeIfAbsent(r.request(), k -> new HashSet<>())
                        .add(source(r.engine(), AdapterVersion.ofHandle(r.handle())));
            } else if (e instanceof LogEvent.RequestAnswered a) {
                LogEvent.RequestArrived arrived = open.remove(a.request());
                if (!answered.add(a.request())) {
                    found.add(violation(a, "answered twice"));
                }
                checkAnswer(a, arrived, completed, found);
            }
        }
        unanswered(run, open, found);
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
        if (!a.whole()) {
            found.add(violation(a, "not the whole answer to this request"));
        }
        boolean model = arrived != null && !arrived.adapter().isEmpty();
        if (!model || !a.code().isSuccess()) {
            return;
        }
        AdapterVersion named =
                new AdapterVersion(a.provenance().adapter(), a.provenance().version());
        String source = source(a.provenance().upstream(), named);
        if (!completed.getOrDefault(a.request(), Set.of()).contains(source)) {
            found.add(
                    violation(a, "names " + source + " but ran on " + completed.get(a.request())));
        }
    }

    private static Violation violation(LogEvent.RequestAnswered a, String text) {
        return new Violation(
                "P3", a.at(), a.request() + " (" + a.code() + " by " + a.entry() + "): " + text);
    }

    private static void unanswered(
            RunResult run, Map<String, LogEvent.RequestArrived> open, List<Violation> found) {
        List<LogEvent.InstanceStateChanged> pauses = Intervals.pauses(run);
        for (LogEvent.RequestArrived a : open.values()) {
            long due = a.at() + Deadlines.of(run, a) + GRACE_NANOS;
            long paused = Intervals.pausedNanos(pauses, a.entry(), a.at(), run.endNanos());
            if (due + paused < run.endNanos()) {
                found.add(
                        new Violation(
                                "P3", due, a.request() + " at " + a.entry() + " was not answered"));
            }
        }
    }
}
