package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/**
 * P8: every running instance puts a published configuration number in force within 5 s, and never
 * returns to an older number. If, within the 5 s, the configuration service is down or stale, the
 * instance is paused or not running, or links are slow, the 5 s begin again when that ends.
 */
public final class ConfigurationChecker implements Checker {

    static final long BOUND_NANOS = 5_000_000_000L;

    @Override
    public List<Violation> check(RunResult run) {
        List<Violation> found = new ArrayList<>();
        checkMonotonic(run, found);
        List<LogEvent.InstanceStateChanged> stateChanges =
                run.log().ofType(LogEvent.InstanceStateChanged.class).toList();
        List<Intervals.Interval> serviceOutages = Intervals.configurationServiceOutages(run);
        // Slow links delay some messages by more than the bound.
        List<Intervals.Interval> slowLinks =
                run.log()
                        .ofType(LogEvent.SlowLinksStarted.class)
                        .map(n -> new Intervals.Interval(n.at(), n.until()))
                        .toList();
        List<LogEvent.ConfigurationPublished> published =
                run.log().ofType(LogEvent.ConfigurationPublished.class).toList();
        for (String entry : run.deployment().entries()) {
            List<Intervals.Interval> excludedIntervals = new ArrayList<>(serviceOutages);
            excludedIntervals.addAll(slowLinks);
            excludedIntervals.addAll(
                    Intervals.inactiveIntervals(stateChanges, entry, run.endNanos()));
            List<LogEvent.ConfigurationApplied> applied =
                    run.log()
                            .ofType(LogEvent.ConfigurationApplied.class)
                            .filter(f -> f.entry().equals(entry))
                            .toList();
            published.forEach(p -> checkBound(run, p, entry, excludedIntervals, applied, found));
        }
        return found;
    }

    private static void checkMonotonic(RunResult run, List<Violation> found) {
        Map<String, Long> highest = new HashMap<>();
        run.log()
                .ofType(LogEvent.ConfigurationApplied.class)
                .forEach(
                        f -> {
                            String process = f.entry() + ' ' + f.incarnation();
                            Long before = highest.merge(process, f.number(), Math::max);
                            if (before > f.number()) {
                                found.add(
                                        new Violation(
                                                "P8",
                                                f.at(),
                                                f.entry()
                                                        + " returned from configuration number "
                                                        + before
                                                        + " to "
                                                        + f.number()));
                            }
                        });
    }

    private static void checkBound(
            RunResult run,
            LogEvent.ConfigurationPublished p,
            String entry,
            List<Intervals.Interval> excludedIntervals,
            List<LogEvent.ConfigurationApplied> applied,
            List<Violation> found) {
        long startNanos = p.at();
        boolean extended = true;
        while (extended) {
            extended = false;
            for (Intervals.Interval i : excludedIntervals) {
                if (startNanos < Long.MAX_VALUE - BOUND_NANOS
                        && i.overlaps(startNanos, startNanos + BOUND_NANOS)) {
                    startNanos = i.to();
                    extended = true;
                }
            }
        }
        if (startNanos >= run.endNanos() - BOUND_NANOS) {
            return;
        }
        long dueNanos = startNanos + BOUND_NANOS;
        long number = 0;
        for (LogEvent.ConfigurationApplied f : applied) {
            if (f.at() <= dueNanos) {
                number = f.number();
            }
        }
        if (number < p.number()) {
            found.add(
                    new Violation(
                            "P8",
                            dueNanos,
                            entry + " has number " + number + " in force, not " + p.number()));
        }
    }
}
