package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** P5: a once-only act is executed at most once for each idempotency key. */
public final class OnceOnlyChecker implements Checker {

    @Override
    public List<Violation> check(RunResult run) {
        Map<String, LogEvent.CallExecuted> first = new HashMap<>();
        List<Violation> found = new ArrayList<>();
        run.log()
                .ofType(LogEvent.CallExecuted.class)
                .filter(x -> !x.key().isEmpty())
                .forEach(
                        x -> {
                            LogEvent.CallExecuted before = first.putIfAbsent(x.key(), x);
                            if (before != null) {
                                found.add(
                                        new Violation(
                                                "P5",
                                                x.at(),
                                                "act "
                                                        + x.key()
                                                        + " was executed for "
                                                        + before.entry()
                                                        + " and again for "
                                                        + x.entry()));
                            }
                        });
        return found;
    }
}
