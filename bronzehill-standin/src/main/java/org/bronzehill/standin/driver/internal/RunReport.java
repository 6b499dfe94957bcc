package org.bronzehill.standin.driver.internal;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/** Prints the measures of a run and the results of the guarantee checks. */
public final class RunReport {

    private static final int MAX_PRINTED_VIOLATIONS = 5;

    private final RunObservations observations;
    private final PrintStream out;

    private RunReport(RunObservations observations, PrintStream out) {
        this.observations = observations;
        this.out = out;
    }

    public static RunReport of(RunObservations observations, PrintStream out) {
        return new RunReport(observations, out);
    }

    public void printMeasures() {
        out.println("measures");
        CallLog.byKindAndResult(observations.outcomes())
                .forEach((kind, results) -> out.printf("  %-20s %s%n", kind, results));
        observations
                .loadStalls()
                .forEach(
                        (kind, stalls) ->
                                out.printf(
                                        "  load stall of %d %s answers: p50 %d ms, p95 %d ms%n",
                                        stalls.length,
                                        kind,
                                        percentile(stalls, 0.5),
                                        percentile(stalls, 0.95)));
        out.printf(
                "  answers without an audit record: %d%n",
                observations.outcomesWithoutAuditRecord());
        out.printf(
                "  batch efficiency %.3f, mean batch %.2f%n",
                observations.batchEfficiency(), observations.meanBatchSize());
        List<AttemptOutcome> acts =
                observations.outcomes().stream().filter(o -> o.call().isAct()).toList();
        out.printf(
                "  once-only acts: %d sent, %d confirmed to callers, %d recorded under %d keys%n",
                acts.stream().map(o -> o.call().key()).distinct().count(),
                acts.stream()
                        .filter(AttemptOutcome::isSuccess)
                        .map(o -> o.call().key())
                        .distinct()
                        .count(),
                observations.actsRecorded(),
                observations.actsByKey().size());
    }

    /** Prints one line for each guarantee; returns whether all hold. */
    public boolean printGuarantees() {
        boolean allHold = true;
        for (Guarantee guarantee : Guarantee.values()) {
            Guarantee.Verdict verdict = guarantee.check(observations);
            allHold &= verdict.holds();
            out.printf(
                    "%s %s (%d checked): %s%n",
                    guarantee.name(), resultText(verdict), verdict.checked(), guarantee.summary());
            verdict.violations().stream()
                    .limit(MAX_PRINTED_VIOLATIONS)
                    .forEach(v -> out.println("     " + v));
        }
        return allHold;
    }

    private static String resultText(Guarantee.Verdict verdict) {
        if (!verdict.holds()) {
            return "BROKEN " + verdict.violations().size() + " times";
        }
        return verdict.checked() == 0 ? "not tried" : "kept";
    }

    /** Prints the result of a check of a scenario; returns whether it passed. */
    public boolean printCheck(Map.Entry<String, Boolean> check) {
        out.printf("%s: %s%n", check.getValue() ? "holds" : "BROKEN", check.getKey());
        return check.getValue();
    }

    private static long percentile(long[] sorted, double fraction) {
        int rank = (int) Math.ceil(fraction * sorted.length) - 1;
        return sorted[Math.max(0, rank)];
    }
}
