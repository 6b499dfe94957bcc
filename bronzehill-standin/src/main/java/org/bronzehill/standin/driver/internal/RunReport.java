package org.bronzehill.standin.driver.internal;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/** Prints the measures of a run and a line for each promise. */
public final class RunReport {

    private static final int SHOWN_BREACHES = 5;

    private final Evidence evidence;
    private final PrintStream out;

    private RunReport(Evidence evidence, PrintStream out) {
        this.evidence = evidence;
        this.out = out;
    }

    /** Creates a report. */
    public static RunReport of(Evidence evidence, PrintStream out) {
        return new RunReport(evidence, out);
    }

    /** Prints the measures. */
    public void printMeasures() {
        out.println("measures");
        CallLog.byKindAndResult(evidence.told())
                .forEach((kind, results) -> out.printf("  %-20s %s%n", kind, results));
        evidence.stalls()
                .forEach(
                        (kind, stalls) ->
                                out.printf(
                                        "  load stall of %d %s answers: p50 %d ms, p95 %d ms%n",
                                        stalls.length,
                                        kind,
                                        percentile(stalls, 0.5),
                                        percentile(stalls, 0.95)));
        out.printf("  answers without an audit record: %d%n", evidence.unaudited());
        out.printf(
                "  batch efficiency %.3f, mean batch %.2f%n",
                evidence.batchEfficiency(), evidence.meanBatch());
        List<Told> acts = evidence.told().stream().filter(t -> t.call().isAct()).toList();
        out.printf(
                "  once-only acts: %d sent, %d confirmed to callers, %d recorded under %d keys%n",
                acts.stream().map(t -> t.call().key()).distinct().count(),
                acts.stream().filter(Told::isSuccess).map(t -> t.call().key()).distinct().count(),
                evidence.actsRecorded(),
                evidence.actsByKey().size());
    }

    /** Prints a line for each promise; returns whether all are kept. */
    public boolean printPromises() {
        boolean kept = true;
        for (Promise promise : Promise.values()) {
            Promise.Verdict verdict = promise.check(evidence);
            kept &= verdict.kept();
            out.printf(
                    "%s %s (%d checked): %s%n",
                    promise.name(), word(verdict), verdict.checked(), promise.summary());
            verdict.breaches().stream()
                    .limit(SHOWN_BREACHES)
                    .forEach(b -> out.println("     " + b));
        }
        return kept;
    }

    private static String word(Promise.Verdict verdict) {
        if (!verdict.kept()) {
            return "BROKEN " + verdict.breaches().size() + " times";
        }
        return verdict.checked() == 0 ? "not tried" : "kept";
    }

    /** Prints a count that a scenario requires; returns whether it holds. */
    public boolean printCheck(Map.Entry<String, Boolean> check) {
        out.printf("%s: %s%n", check.getValue() ? "holds" : "BROKEN", check.getKey());
        return check.getValue();
    }

    private static long percentile(long[] sorted, double part) {
        int rank = (int) Math.ceil(part * sorted.length) - 1;
        return sorted[Math.max(0, rank)];
    }
}
