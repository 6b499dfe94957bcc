package org.bronzehill.replay.check;

import org.bronzehill.config.KindSpec;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** Deadlines of requests. */
public final class Deadlines {

    private Deadlines() {}

    /** Returns the time that a request has, in nanoseconds. */
    public static long of(RunResult run, LogEvent.RequestArrived a) {
        long kind =
                run.deployment().kinds().stream()
                        .filter(k -> k.name().equals(a.kind()))
                        .map(KindSpec::deadline)
                        .findFirst()
                        .orElseThrow()
                        .toNanos();
        return a.budgetMs() > 0 ? Math.min(kind, a.budgetMs() * 1_000_000) : kind;
    }
}
