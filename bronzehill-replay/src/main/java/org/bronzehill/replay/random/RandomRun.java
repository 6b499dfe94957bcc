package org.bronzehill.replay.random;

import java.io.PrintStream;
import java.util.List;
import java.util.stream.Collectors;
import org.bronzehill.replay.check.Checkers;
import org.bronzehill.replay.check.Violation;
import org.bronzehill.replay.generate.Scenario;
import org.bronzehill.replay.harness.DecisionCore;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.Replay;
import org.bronzehill.replay.harness.RunResult;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;

/** Runs random fault schedules and reports the seeds whose runs violate a property. */
public final class RandomRun {

    private static final int MAX_SHORTENING_RUNS = 200;
    private static final int MAX_HISTORY_EVENTS = 40;
    private static final long HISTORY_NANOS = 3_000_000_000L;

    private final DecisionCore.Factory factory;
    private final PrintStream out;
    private final List<Scenario> additionalScenarios;

    private RandomRun(
            DecisionCore.Factory factory, PrintStream out, List<Scenario> additionalScenarios) {
        this.factory = factory;
        this.out = out;
        this.additionalScenarios = additionalScenarios;
    }

    /** Creates a runner that prints its report to {@code out}. */
    public static RandomRun create(DecisionCore.Factory factory, PrintStream out) {
        return new RandomRun(factory, out, List.of());
    }

    /** Returns a runner that adds the faults of the given scenarios to every schedule. */
    public RandomRun withScenarios(List<Scenario> scenarios) {
        return new RandomRun(factory, out, scenarios);
    }

    /** Runs {@code count} seeds from {@code first}; returns the number of failed seeds. */
    public int run(long first, int count, boolean shorten) {
        int failed = 0;
        for (long seed = first; seed < first + count; seed++) {
            Trace trace = RandomSchedule.of(seed, additionalScenarios);
            List<Violation> violations = check(trace);
            if (!violations.isEmpty()) {
                failed++;
                report(seed, trace, violations, shorten);
            }
        }
        out.println(count + " seeds from " + first + ", " + failed + " failed");
        return failed;
    }

    private List<Violation> check(Trace trace) {
        try {
            return Checkers.check(Replay.run(trace, factory));
        } catch (RuntimeException e) {
            StackTraceElement at = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
            return List.of(new Violation("exception", 0, e + " at " + at));
        }
    }

    private void report(long seed, Trace trace, List<Violation> violations, boolean shorten) {
        out.println(
                "seed "
                        + seed
                        + " ("
                        + trace.header().deployment()
                        + ", "
                        + trace.header().title()
                        + ") failed; run it with: bronzehill replay --random --first "
                        + seed
                        + " --seeds 1 --shorten"
                        + additionalOption());
        violations.stream().limit(5).forEach(v -> out.println("  " + v));
        if (violations.size() > 5) {
            out.println("  and " + (violations.size() - 5) + " more");
        }
        if (shorten) {
            String property = violations.get(0).property();
            Trace shortened =
                    TraceShortener.shorten(
                            trace,
                            t -> check(t).stream().anyMatch(v -> v.property().equals(property)),
                            MAX_SHORTENING_RUNS);
            printHistory(shortened, property);
        }
    }

    private String additionalOption() {
        return additionalScenarios.isEmpty()
                ? ""
                : " --with "
                        + additionalScenarios.stream()
                                .map(Scenario::label)
                                .collect(Collectors.joining("+"));
    }

    private void printHistory(Trace shortened, String property) {
        out.println("  shortened trace:");
        shortened.records().forEach(r -> out.println("    " + TraceFormat.line(r)));
        if (property.equals("exception")) {
            return;
        }
        RunResult run = Replay.run(shortened, factory);
        Violation v =
                Checkers.check(run).stream()
                        .filter(x -> x.property().equals(property))
                        .findFirst()
                        .orElseThrow();
        out.println("  " + v);
        List<LogEvent> before =
                run.log().events().stream()
                        .filter(e -> e.at() <= v.at() && e.at() >= v.at() - HISTORY_NANOS)
                        .toList();
        before.stream()
                .skip(Math.max(0, before.size() - MAX_HISTORY_EVENTS))
                .forEach(e -> out.println("    " + e));
    }
}
