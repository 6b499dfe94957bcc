package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/**
 * P8: a published number is in force within 5 s at every instance that runs, counted from when the
 * configuration service answers and no link delays messages by more than that; an instance never
 * goes back to an older number.
 */
public final class ConfigurationChecker implements Checker {

    static final long BOUND_NANOS = 5_000_000_000L;

    @Override
    public List<Violation> check(RunResult run) {
        List<Violation> found = new ArrayList<>();
        reversals(run, found);
        List<LogEvent.InstanceStateChanged> processes =
                run.log().of(LogEvent.InstanceStateChanged.class).toList();
        List<Intervals.Interval> service = Intervals.serviceNotUp(run);
        // Slow links delay single messages by more than the bound.
        List<Intervals.Interval> slow =
                run.log()
                        .of(LogEvent.SlowLinksStarted.class)
                        .map(n -> new Intervals.Interval(n.at(), n.until()))
                        .toList();
        List<LogEvent.ConfigurationPublished> published =
                run.log().of(LogEvent.ConfigurationPublished.class).toList();
        for (String entry : run.deployment().entries()) {
            List<Intervals.Interval> excluded = new ArrayList<>(service);
            excluded.addAll(slow);
            excluded.addAll(Intervals.inactive(processes, entry, run.endNanos()));
            List<LogEvent.ConfigurationApplied> inForce =
                    run.log()
                            .of(LogEvent.ConfigurationApplied.class)
                            .filter(f -> f.entry().equals(entry))
                            .toList();
            published.forEach(p -> checkBound(run, p, entry, excluded, inForce, found));
        }
        return found;
    }

    private static void reversals(RunResult run, List<Violation> found) {
        Map<String, Long> highest = new HashMap<>();
        run.log()
                .of(LogEvent.ConfigurationApplied.class)
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
                                                        + " went back from number "
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
            List<Intervals.Interval> excluded,
            List<LogEvent.ConfigurationApplied> inForce,
            List<Violation> found) {
        long from = p.at();
        boolean moved = true;
        while (moved) {
            moved = false;
            for (Intervals.Interval i : excluded) {
                if (from < Long.MAX_VALUE - BOUND_NANOS && i.overlaps(from, from + BOUND_NANOS)) {
                    from = i.to();
                    moved = true;
                }
            }
        }
        if (from >= run.endNanos() - BOUND_NANOS) {
            return;
        }
        long due = from + BOUND_NANOS;
        long number = 0;
        for (LogEvent.ConfigurationApplied f : inForce) {
            if (f.at() <= due) {
                number = f.number();
            }
        }
        if (number < p.number()) {
            found.add(
                    new Violation(
                            "P8",
                            due,
                            entry + " has number " + number + " in force, not " + p.number()));
        }
    }
}
