package org.bronzehill.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/**
 * P6: an upstream that the instance list published as leaving or absent receives no new work that
 * was sent more than 5 s later, unless it was published as live again. Work that a slow link
 * delivers late counts by the time it was sent.
 */
public final class LeavingUpstreamChecker implements Checker {

    static final long BOUND_NANOS = 5_000_000_000L;

    @Override
    public List<Violation> check(RunResult run) {
        Map<String, Long> leavingSince = new HashMap<>();
        List<Violation> found = new ArrayList<>();
        LogEvent.DelayedDelivery lastDelayed = null;
        for (LogEvent e : run.log().events()) {
            if (e instanceof LogEvent.DelayedDelivery l) {
                lastDelayed = l;
                continue;
            }
            if (e instanceof LogEvent.UpstreamStatePublished p) {
                if (p.state().equals("live")) {
                    leavingSince.remove(p.upstream());
                } else {
                    leavingSince.putIfAbsent(p.upstream(), p.at());
                }
                continue;
            }
            String upstream = receiver(e);
            Long leavingSinceNanos = leavingSince.get(upstream);
            boolean delayed =
                    lastDelayed != null
                            && lastDelayed.at() == e.at()
                            && lastDelayed.upstream().equals(upstream);
            long sentNanos = delayed ? lastDelayed.sentAt() : e.at();
            if (leavingSinceNanos != null && sentNanos - leavingSinceNanos > BOUND_NANOS) {
                found.add(
                        new Violation(
                                "P6",
                                e.at(),
                                upstream
                                        + " has been leaving since "
                                        + leavingSinceNanos / 1e9
                                        + " s but received "
                                        + e));
            }
        }
        return found;
    }

    private static String receiver(LogEvent e) {
        if (e instanceof LogEvent.AttemptAccepted a) {
            return a.engine();
        }
        if (e instanceof LogEvent.OrderHandled o && o.outcome().equals("STARTED")) {
            return o.engine();
        }
        return e instanceof LogEvent.CallReceived c ? c.runner() : "";
    }
}
