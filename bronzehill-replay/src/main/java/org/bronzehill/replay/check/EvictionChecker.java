package org.bronzehill.replay.check;

import java.util.List;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/**
 * P2: an adapter that is serving a request is never evicted. Requests that their holder no longer
 * awaits do not count.
 */
public final class EvictionChecker implements Checker {

    @Override
    public List<Violation> check(RunResult run) {
        return run.log()
                .ofType(LogEvent.AdapterEvicted.class)
                .filter(e -> !e.interruptedRequests().isEmpty())
                .map(
                        e ->
                                new Violation(
                                        "P2",
                                        e.at(),
                                        e.holder()
                                                + " evicted "
                                                + e.handle()
                                                + " from "
                                                + e.engine()
                                                + " while it served "
                                                + e.interruptedRequests()))
                .toList();
    }
}
