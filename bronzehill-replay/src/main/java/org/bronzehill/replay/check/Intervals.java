package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.List;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** Intervals in which an instance or the configuration service did not work normally. */
final class Intervals {

    /** Half-open interval in nanoseconds since the start of the run. */
    record Interval(long from, long to) {
        boolean overlaps(long start, long end) {
            return from < end && start < to;
        }
    }

    private Intervals() {}

    static List<LogEvent.InstanceStateChanged> stateChanges(RunResult run) {
        return run.log().ofType(LogEvent.InstanceStateChanged.class).toList();
    }

    /** Returns the intervals in which the instance was paused or not running. */
    static List<Interval> inactiveIntervals(
            List<LogEvent.InstanceStateChanged> stateChanges, String entry, long end) {
        List<Interval> found = new ArrayList<>();
        long since = -1;
        for (LogEvent.InstanceStateChanged change : stateChanges) {
            if (!change.entry().equals(entry)) {
                continue;
            }
            boolean active = !change.state().equals("paused") && !change.state().equals("killed");
            if (!active && since < 0) {
                since = change.at();
            } else if (since >= 0
                    && (change.state().equals("resumed") || change.state().equals("started"))) {
                found.add(new Interval(since, change.at()));
                since = -1;
            }
        }
        if (since >= 0) {
            found.add(new Interval(since, Math.max(end, since + 1)));
        }
        return found;
    }

    static long inactiveNanos(
            List<LogEvent.InstanceStateChanged> stateChanges, String entry, long from, long to) {
        return inactiveIntervals(stateChanges, entry, to).stream()
                .filter(i -> i.overlaps(from, to))
                .mapToLong(i -> Math.min(i.to(), to) - Math.max(i.from(), from))
                .sum();
    }

    /** Returns the intervals in which the configuration service was down or stale. */
    static List<Interval> configurationServiceOutages(RunResult run) {
        List<Interval> found = new ArrayList<>();
        long[] since = {-1};
        run.log()
                .ofType(LogEvent.ConfigurationServiceMode.class)
                .forEach(
                        m -> {
                            if (m.mode().equals("up") && since[0] >= 0) {
                                found.add(new Interval(since[0], m.at()));
                                since[0] = -1;
                            } else if (!m.mode().equals("up") && since[0] < 0) {
                                since[0] = m.at();
                            }
                        });
        if (since[0] >= 0) {
            found.add(new Interval(since[0], Long.MAX_VALUE));
        }
        return found;
    }
}
