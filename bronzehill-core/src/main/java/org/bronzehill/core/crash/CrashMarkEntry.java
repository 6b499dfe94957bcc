package org.bronzehill.core.crash;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Crashes counted for one fingerprint, and the trials of its requests since. */
final class CrashMarkEntry {

    /** Time from the crash that led to the refusal, or from a failed trial, to the next trial. */
    static final Duration FIRST_TRIAL_DELAY = Duration.ofSeconds(2);

    /**
     * Factor by which the delay grows with each failed trial. With it, three trials that crash
     * upstreams are sent in the ten minutes after the third crash.
     */
    private static final int DELAY_FACTOR = 4;

    /** Number of failed trials from which the delay is longer than the retention of marks. */
    private static final int MAX_FAILED_TRIALS = 5;

    /** Crashes less than this apart may be those of upstreams that were lost together. */
    private static final Duration SAME_EVENT_TIME = Duration.ofSeconds(1);

    private static final int MAX_SOURCES = 16;

    private final Map<String, Mark> marks = new LinkedHashMap<>();
    private long lastTrialAt;
    private int trials;

    /** Number of crashes of one source, and the time of the latest one. */
    private record Mark(int crashes, long atNanos) {}

    /** Adds the count of a source; a source that reports again replaces its smaller count. */
    void merge(String source, int crashes, long atNanos) {
        Mark known = marks.get(source);
        if (known != null) {
            long latest = atNanos - known.atNanos() > 0 ? atNanos : known.atNanos();
            marks.put(source, new Mark(Math.max(known.crashes(), crashes), latest));
        } else if (marks.size() < MAX_SOURCES) {
            marks.put(source, new Mark(crashes, atNanos));
        }
    }

    /** Returns the crashes that a source has counted. */
    int crashesOf(String source) {
        Mark mark = marks.get(source);
        return mark == null ? 0 : mark.crashes();
    }

    Iterable<String> sources() {
        return marks.keySet();
    }

    long markedAt(String source) {
        return marks.get(source).atNanos();
    }

    /** Removes the crashes before a time; returns whether there were any. */
    boolean removeBefore(long atNanos) {
        return marks.values().removeIf(m -> m.atNanos() - atNanos <= 0);
    }

    boolean isEmpty() {
        return marks.isEmpty();
    }

    int crashes() {
        return marks.values().stream().mapToInt(Mark::crashes).sum();
    }

    /** Returns the time of the latest crash, relative to the given time and not positive. */
    long lastCrashAt(long now) {
        return now + marks.values().stream().mapToLong(m -> m.atNanos() - now).max().orElse(0);
    }

    void onTrial(long now) {
        trials++;
        lastTrialAt = now;
    }

    /** Returns whether the next trial of a refused request is due. */
    boolean isTrialDue(int threshold, long now) {
        long last = lastCrashAt(now);
        if (trials > 0 && lastTrialAt - last > 0) {
            last = lastTrialAt;
        }
        int failed = Math.min(MAX_FAILED_TRIALS, Math.max(trials, laterCrashes(threshold, now)));
        long delay = FIRST_TRIAL_DELAY.toNanos() * (long) Math.pow(DELAY_FACTOR, failed);
        return now - last >= delay;
    }

    /**
     * Returns the number of crashes, other than those of upstreams lost together, since the request
     * was first refused. Trials of other instances are known by the crashes that they caused.
     */
    private int laterCrashes(int threshold, long now) {
        List<Mark> inOrder =
                marks.values().stream()
                        .sorted((a, b) -> Long.compare(a.atNanos() - now, b.atNanos() - now))
                        .toList();
        int total = 0;
        int later = 0;
        long last = 0;
        for (Mark mark : inOrder) {
            boolean refused = total >= threshold;
            total += mark.crashes();
            if (!refused) {
                last = mark.atNanos();
            } else if (mark.atNanos() - last >= SAME_EVENT_TIME.toNanos()) {
                last = mark.atNanos();
                later++;
            }
        }
        return later;
    }
}
