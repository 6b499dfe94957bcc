package org.bronzehill.replay.expect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;
import org.bronzehill.replay.trace.TraceRecord;

/** Compares the result of a replay with the expected outcomes of its trace. */
public final class Expectations {

    /** Outcome of a request that was not answered, for example because its instance ended. */
    static final String NO_ANSWER = "NO_ANSWER";

    private Expectations() {}

    /** Difference between a record's expected and actual outcome. */
    public record Mismatch(String record, String expected, String actual) {

        @Override
        public String toString() {
            return "record " + record + "\n  expected " + expected + "\n  actual   " + actual;
        }
    }

    /** Returns all differences between the run and the expectations. */
    public static List<Mismatch> compare(
            Trace trace, RunResult run, List<Expectation> expectations) {
        Map<String, LogEvent.RequestAnswered> answers = new HashMap<>();
        run.log().ofType(LogEvent.RequestAnswered.class).forEach(a -> answers.put(a.request(), a));
        Map<String, TraceRecord> records = new HashMap<>();
        trace.records().forEach(r -> records.put(idOf(r), r));
        List<Mismatch> found = new ArrayList<>();
        for (Expectation e : expectations) {
            if (e.request().isEmpty()) {
                compareSuccessShare(run, e, found);
            } else {
                compareRequest(e, records.get(e.request()), answers.get(e.request()), found);
            }
        }
        return found;
    }

    /** Returns the identifier of the request in a record, or an empty string. */
    static String idOf(TraceRecord r) {
        if (r instanceof TraceRecord.Model m) {
            return m.id();
        }
        return r instanceof TraceRecord.Service s ? s.id() : "";
    }

    private static void compareRequest(
            Expectation e, TraceRecord r, LogEvent.RequestAnswered a, List<Mismatch> found) {
        String record =
                r == null ? "with id " + e.request() + " is not in the trace" : TraceFormat.line(r);
        boolean outcomeAccepted = e.outcomes().isEmpty() || matches(e.outcomes(), a);
        boolean modelAnswered = a != null && a.code().isSuccess() && r instanceof TraceRecord.Model;
        boolean versionAccepted =
                !modelAnswered
                        || e.versions().isEmpty()
                        || e.versions().contains(a.provenance().version());
        if (!outcomeAccepted || !versionAccepted) {
            String expected = e.outcomes() + (versionAccepted ? "" : " of version " + e.versions());
            found.add(new Mismatch(record, expected, describe(a)));
        }
    }

    private static boolean matches(List<String> outcomes, LogEvent.RequestAnswered a) {
        if (a == null) {
            return outcomes.contains(NO_ANSWER);
        }
        return outcomes.contains(a.code().name())
                || !a.code().isSuccess()
                        && a.code() != ResultCode.INTERNAL
                        && outcomes.contains(a.code().runState().name());
    }

    private static String describe(LogEvent.RequestAnswered a) {
        if (a == null) {
            return NO_ANSWER;
        }
        return a.code()
                + " from "
                + a.provenance()
                + (a.detail().isEmpty() ? "" : ", ")
                + a.detail();
    }

    private static void compareSuccessShare(RunResult run, Expectation e, List<Mismatch> found) {
        long entitled =
                run.log()
                        .ofType(LogEvent.RequestAnswered.class)
                        .filter(a -> a.code() != ResultCode.NOT_ENTITLED)
                        .count();
        long success =
                run.log()
                        .ofType(LogEvent.RequestAnswered.class)
                        .filter(a -> a.code().isSuccess() && a.complete())
                        .count();
        if (success < e.minSuccess() * entitled) {
            found.add(
                    new Mismatch(
                            "all requests",
                            "a share of at least " + e.minSuccess() + " succeeds",
                            success + " of " + entitled));
        }
    }
}
