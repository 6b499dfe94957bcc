package org.bronzehill.replay.check;

import org.bronzehill.config.KindSpec;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** Time budgets of requests. */
public final class RequestBudgets {

    private RequestBudgets() {}

    /** Returns the time from the arrival of a request to its deadline, in nanoseconds. */
    public static long of(RunResult run, LogEvent.RequestArrived a) {
        long kindDeadlineNanos =
                run.deployment().kinds().stream()
                        .filter(k -> k.name().equals(a.kind()))
                        .map(KindSpec::deadline)
                        .findFirst()
                        .orElseThrow()
                        .toNanos();
        return a.budgetMs() > 0
                ? Math.min(kindDeadlineNanos, a.budgetMs() * 1_000_000)
                : kindDeadlineNanos;
    }
}
