package org.bronzehill.replay.random;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceRecord;

/** Shortens a failing trace by removing records while it still fails. */
public final class TraceShortener {

    private final Predicate<Trace> fails;
    private int runsLeft;

    private TraceShortener(Predicate<Trace> fails, int maxRuns) {
        this.fails = fails;
        this.runsLeft = maxRuns;
    }

    /** Returns a shorter trace that still fails; runs at most {@code maxRuns} replays. */
    public static Trace shorten(Trace trace, Predicate<Trace> fails, int maxRuns) {
        return new TraceShortener(fails, maxRuns).shorten(trace);
    }

    private Trace shorten(Trace trace) {
        List<TraceRecord> kept = new ArrayList<>(trace.records());
        int chunkSize = Math.max(1, kept.size() / 2);
        while (chunkSize >= 1 && runsLeft > 0) {
            int from = 0;
            while (from < kept.size() && runsLeft > 0) {
                List<TraceRecord> shorter = new ArrayList<>(kept.subList(0, from));
                shorter.addAll(kept.subList(Math.min(kept.size(), from + chunkSize), kept.size()));
                runsLeft--;
                if (fails.test(trace.withRecords(shorter))) {
                    kept = shorter;
                } else {
                    from += chunkSize;
                }
            }
            chunkSize /= 2;
        }
        return trace.withRecords(kept);
    }
}
