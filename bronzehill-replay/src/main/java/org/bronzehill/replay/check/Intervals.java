package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.List;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** Intervals in which an instance or the configuration service could not act. */
final class Intervals {

    /** A half-open interval in nanoseconds. */
    record Interval(long from, long to) {
        boolean overlaps(long start, long end) {
            return from < end && start < to;
        }
    }

    private Intervals() {}

    static List<LogEvent.InstanceStateChanged> pauses(RunResult run) {
        return run.log().of(LogEvent.InstanceStateChanged.class).toList();
    }

    /** Returns when the instance was paused or not running. */
    static List<Interval> inactive(
            List<LogEvent.InstanceStateChanged> processes, String entry, long end) {
        List<Interval> found = new ArrayList<>();
        long since = -1;
        for (LogEvent.InstanceStateChanged p : processes) {
            if (!p.entry().equals(entry)) {
                continue;
            }
            boolean active = !p.what().equals("paused") && !p.what().equals("killed");
            if (!active && since < 0) {
                since = p.at();
            } else if (since >= 0 && (p.what().equals("resumed") || p.what().equals("started"))) {
                found.add(new Interval(since, p.at()));
                since = -1;
            }
        }
        if (since >= 0) {
            found.add(new Interval(since, Math.max(end, since + 1)));
        }
        return found;
    }

    static long pausedNanos(
            List<LogEvent.InstanceStateChanged> processes, String entry, long from, long to) {
        return inactive(processes, entry, to).stream()
                .filter(i -> i.overlaps(from, to))
                .mapToLong(i -> Math.min(i.to(), to) - Math.max(i.from(), from))
                .sum();
    }

    /** Returns when the configuration service was down or stale. */
    static List<Interval> serviceNotUp(RunResult run) {
        List<Interval> found = new ArrayList<>();
        long[] since = {-1};
        run.log()
                .of(LogEvent.ConfigurationServiceMode.class)
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
