package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** P5: a once-only act is carried out at most once for each key. */
public final class OnceOnlyChecker implements Checker {

    @Override
    public List<Violation> check(RunResult run) {
        Map<String, LogEvent.CallExecuted> first = new HashMap<>();
        List<Violation> found = new ArrayList<>();
        run.log()
                .of(LogEvent.CallExecuted.class)
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
                                                        + " was carried out by "
                                                        + before.entry()
                                                        + " and again by "
                                                        + x.entry()));
                            }
                        });
        return found;
    }
}
