package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** P7: a planned stop cuts off no request in flight, and it ends when nothing is in flight. */
public final class PlannedStopChecker implements Checker {

    /** Time for the handover of an instance that has nothing in flight. */
    private static final long HANDOVER_NANOS = 15_000_000_000L;

    /** Deadlines travel in whole milliseconds and lose up to one at each hop. */
    private static final long ROUNDING_NANOS = 5_000_000L;

    @Override
    public List<Violation> check(RunResult run) {
        List<Violation> found = new ArrayList<>();
        Map<String, String> holders = new HashMap<>();
        Set<String> left = new HashSet<>();
        Set<String> draining = new HashSet<>();
        Map<String, LogEvent.RunEnded> cut = new HashMap<>();
        for (LogEvent e : run.log().events()) {
            if (e instanceof LogEvent.DrainState d) {
                checkState(d, found);
            } else if (e instanceof LogEvent.InstanceStateChanged p) {
                if (p.what().equals("draining")) {
                    draining.add(p.entry());
                } else if (!p.what().equals("paused") && !p.what().equals("resumed")) {
                    draining.remove(p.entry());
                }
            } else if (e instanceof LogEvent.AttemptAccepted a) {
                holders.put(a.request() + a.engine(), a.holder());
            } else if (e instanceof LogEvent.CallerDisconnected l) {
                left.add(l.request());
            } else if (e instanceof LogEvent.RunEnded r
                    && r.how().equals("cancelled")
                    && draining.contains(holders.get(r.request() + r.engine()))) {
                cut.put(r.request(), r);
            }
        }
        reportCut(run, cut, left, found);
        return found;
    }

    private static void checkState(LogEvent.DrainState d, List<Violation> found) {
        boolean idle = d.openRequests() == 0 && d.attempts() == 0 && d.calls() == 0;
        if (d.finished() && !idle) {
            found.add(new Violation("P7", d.at(), "the stop cut off requests in flight: " + d));
        }
        if (!d.finished() && idle && d.at() - d.drainingSince() > HANDOVER_NANOS) {
            found.add(new Violation("P7", d.at(), "the stop does not end: " + d));
        }
    }

    private static void reportCut(
            RunResult run,
            Map<String, LogEvent.RunEnded> cut,
            Set<String> left,
            List<Violation> found) {
        Map<String, LogEvent.RequestArrived> arrived = new HashMap<>();
        run.log().of(LogEvent.RequestArrived.class).forEach(a -> arrived.put(a.request(), a));
        run.log()
                .of(LogEvent.RequestAnswered.class)
                .filter(a -> cut.containsKey(a.request()) && !left.contains(a.request()))
                .filter(a -> !a.code().isSuccess())
                .filter(
                        a -> {
                            LogEvent.RequestArrived r = arrived.get(a.request());
                            long due = r.at() + Deadlines.of(run, r);
                            return cut.get(a.request()).at() < due - ROUNDING_NANOS;
                        })
                .forEach(
                        a ->
                                found.add(
                                        new Violation(
                                                "P7",
                                                a.at(),
                                                "a draining holder cancelled "
                                                        + cut.get(a.request())
                                                        + "; answer "
                                                        + a.code())));
    }
}
