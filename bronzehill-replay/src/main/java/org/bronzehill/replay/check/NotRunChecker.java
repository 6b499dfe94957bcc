package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.result.RunState;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/** P4: a request whose refusal states that it was not run is never run, before or afterwards. */
public final class NotRunChecker implements Checker {

    @Override
    public List<Violation> check(RunResult run) {
        Map<String, String> executions = new HashMap<>();
        for (LogEvent e : run.log().events()) {
            if (e instanceof LogEvent.RunStarted r) {
                executions.put(r.request(), "ran on " + r.engine() + " as attempt " + r.attempt());
            } else if (e instanceof LogEvent.CallExecuted x) {
                executions.put(x.request(), "was executed by " + x.runner());
            }
        }
        List<Violation> found = new ArrayList<>();
        run.log()
                .ofType(LogEvent.RequestAnswered.class)
                .filter(a -> a.code().runState() == RunState.NOT_RUN)
                .filter(a -> executions.containsKey(a.request()))
                .forEach(
                        a ->
                                found.add(
                                        new Violation(
                                                "P4",
                                                a.at(),
                                                a.request()
                                                        + " was refused with "
                                                        + a.code()
                                                        + " by "
                                                        + a.entry()
                                                        + " but "
                                                        + executions.get(a.request()))));
        return found;
    }
}
