package org.bronzehill.replay.check;

import java.util.Comparator;
import java.util.List;
import org.bronzehill.replay.harness.RunResult;

/** Runs the checkers of the properties P1 to P8, which docs/design.md defines. */
public final class Checkers {

    private static final List<Checker> ALL =
            List.of(
                    new EntitlementChecker(),
                    new EvictionChecker(),
                    new CompleteAnswerChecker(),
                    new NotRunChecker(),
                    new OnceOnlyChecker(),
                    new LeavingUpstreamChecker(),
                    new PlannedStopChecker(),
                    new ConfigurationChecker());

    private Checkers() {}

    /** Returns the violations of all properties in order of time. */
    public static List<Violation> check(RunResult run) {
        return ALL.stream()
                .flatMap(c -> c.check(run).stream())
                .sorted(Comparator.comparingLong(Violation::at))
                .toList();
    }
}
