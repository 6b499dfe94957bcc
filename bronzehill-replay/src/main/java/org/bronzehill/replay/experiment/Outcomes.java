package org.bronzehill.replay.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.replay.check.RequestBudgets;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** Derives the outcome of every request from the event log, in the same way for every policy. */
public final class Outcomes {

    private Outcomes() {}

    /**
     * Returns the outcomes of the requests that arrived at or after {@code fromNanos}. Excludes
     * requests that every policy must refuse, requests whose caller disconnected, and requests that
     * were unanswered with time left when the run ended.
     */
    public static List<RequestOutcome> of(RunResult run, long fromNanos) {
        Map<String, LogEvent.RequestArrived> arrived = new HashMap<>();
        Map<String, LogEvent.RunStarted> lastRun = new HashMap<>();
        Map<String, LogEvent.RequestAnswered> answered = new HashMap<>();
        Set<String> disconnected = new HashSet<>();
        for (LogEvent e : run.log().events()) {
            if (e instanceof LogEvent.RequestArrived a) {
                arrived.put(a.request(), a);
            } else if (e instanceof LogEvent.RunStarted r) {
                lastRun.put(r.request(), r);
            } else if (e instanceof LogEvent.RequestAnswered a) {
                answered.put(a.request(), a);
            } else if (e instanceof LogEvent.CallerDisconnected l) {
                disconnected.add(l.request());
            }
        }
        List<RequestOutcome> all = new ArrayList<>();
        for (LogEvent.RequestArrived a : arrived.values()) {
            LogEvent.RequestAnswered end = answered.get(a.request());
            boolean refused = end != null && end.code() == ResultCode.NOT_ENTITLED;
            boolean pending = end == null && a.at() + RequestBudgets.of(run, a) > run.endNanos();
            if (a.at() >= fromNanos
                    && !refused
                    && !pending
                    && !disconnected.contains(a.request())) {
                all.add(outcome(run, a, lastRun.get(a.request()), end));
            }
        }
        return all;
    }

    private static RequestOutcome outcome(
            RunResult run,
            LogEvent.RequestArrived a,
            LogEvent.RunStarted ran,
            LogEvent.RequestAnswered end) {
        long budget = RequestBudgets.of(run, a);
        boolean success = end != null && end.code().isSuccess() && end.complete();
        long ended = end == null ? a.at() + budget : end.at();
        long stall = budget;
        if (success) {
            stall = ran == null ? 0 : Math.max(0, ran.adapterLoadedAt() - a.at());
        }
        return new RequestOutcome(
                a.kind(),
                a.adapter(),
                a.caller(),
                a.at(),
                ended,
                budget,
                stall,
                success && ended - a.at() <= budget,
                end == null ? null : end.code());
    }
}
