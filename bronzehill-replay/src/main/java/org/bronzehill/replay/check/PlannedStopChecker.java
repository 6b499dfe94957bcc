package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** P7: a planned stop interrupts no request in flight, and ends once none is in flight. */
public final class PlannedStopChecker implements Checker {

    /**
     * Limit on the time since the drain request for an instance that, at the end of the run, is
     * still draining although nothing is in flight.
     */
    private static final long DRAIN_LIMIT_NANOS = 15_000_000_000L;

    /** Deadlines are sent in whole milliseconds and lose up to 1 ms at each hop. */
    private static final long ROUNDING_TOLERANCE_NANOS = 5_000_000L;

    @Override
    public List<Violation> check(RunResult run) {
        List<Violation> found = new ArrayList<>();
        Map<String, String> holders = new HashMap<>();
        Set<String> disconnectedRequests = new HashSet<>();
        Set<String> draining = new HashSet<>();
        Map<String, LogEvent.RunEnded> cancelledRuns = new HashMap<>();
        for (LogEvent e : run.log().events()) {
            if (e instanceof LogEvent.DrainState d) {
                checkDrainState(d, found);
            } else if (e instanceof LogEvent.InstanceStateChanged p) {
                if (p.state().equals("draining")) {
                    draining.add(p.entry());
                } else if (!p.state().equals("paused") && !p.state().equals("resumed")) {
                    draining.remove(p.entry());
                }
            } else if (e instanceof LogEvent.AttemptAccepted a) {
                holders.put(a.request() + a.engine(), a.holder());
            } else if (e instanceof LogEvent.CallerDisconnected l) {
                disconnectedRequests.add(l.request());
            } else if (e instanceof LogEvent.RunEnded r
                    && r.outcome().equals("cancelled")
                    && draining.contains(holders.get(r.request() + r.engine()))) {
                cancelledRuns.put(r.request(), r);
            }
        }
        reportCancelledRuns(run, cancelledRuns, disconnectedRequests, found);
        return found;
    }

    private static void checkDrainState(LogEvent.DrainState d, List<Violation> found) {
        boolean idle = d.openRequests() == 0 && d.attempts() == 0 && d.calls() == 0;
        if (d.finished() && !idle) {
            found.add(new Violation("P7", d.at(), "the stop interrupted requests in flight: " + d));
        }
        if (!d.finished() && idle && d.at() - d.drainingSince() > DRAIN_LIMIT_NANOS) {
            found.add(
                    new Violation(
                            "P7",
                            d.at(),
                            "the stop did not end although nothing is in flight: " + d));
        }
    }

    private static void reportCancelledRuns(
            RunResult run,
            Map<String, LogEvent.RunEnded> cancelledRuns,
            Set<String> disconnectedRequests,
            List<Violation> found) {
        Map<String, LogEvent.RequestArrived> arrived = new HashMap<>();
        run.log().ofType(LogEvent.RequestArrived.class).forEach(a -> arrived.put(a.request(), a));
        run.log()
                .ofType(LogEvent.RequestAnswered.class)
                .filter(
                        a ->
                                cancelledRuns.containsKey(a.request())
                                        && !disconnectedRequests.contains(a.request()))
                .filter(a -> !a.code().isSuccess())
                .filter(
                        a -> {
                            LogEvent.RequestArrived r = arrived.get(a.request());
                            long deadlineNanos = r.at() + RequestBudgets.of(run, r);
                            return cancelledRuns.get(a.request()).at()
                                    < deadlineNanos - ROUNDING_TOLERANCE_NANOS;
                        })
                .forEach(
                        a ->
                                found.add(
                                        new Violation(
                                                "P7",
                                                a.at(),
                                                "a draining holder cancelled "
                                                        + cancelledRuns.get(a.request())
                                                        + "; the request was answered with "
                                                        + a.code())));
    }
}
