package org.bronzehill.core.forward;

import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests an upstream that never answers while the other one is busy. */
public class SilentUpstreamLoadTest {

    private static final Duration LATENCY = Duration.ofMillis(50);
    private static final Duration LOAD = Duration.ofSeconds(20);

    /** Intervals between requests; the upstream that answers can take one every 12.5 ms. */
    @DataProvider
    public static Object[][] intervals() {
        return new Object[][] {{24}, {15}, {12}, {10}};
    }

    /**
     * Guards against requests that are held at an upstream that is gone until their deadline
     * passes, while the other upstream serves requests that came seconds later.
     */
    @Test(dataProvider = "intervals")
    public void requestsAtAnUpstreamThatIsGoneAreMovedUnderLoad(int intervalMs) {
        ForwardRig rig = new ForwardRig(0, 4, Duration.ofMillis(250), 8);
        List<FakeTransport> calls = new ArrayList<>();
        for (long t = 0; t < LOAD.toMillis(); t += intervalMs) {
            FakeTransport call = new FakeTransport();
            call.onSend(() -> answerUnlessGone(rig, call));
            calls.add(call);
            rig.open(RequestKind.IDEMPOTENT, 2, Option.none(), call);
            rig.scheduler().advance(Duration.ofMillis(intervalMs));
        }
        rig.scheduler().advance(Duration.ofSeconds(12));
        List<FakeTransport> sentToGone =
                calls.stream().filter(c -> firstUpstream(c).equals("p1")).toList();
        long moved = sentToGone.stream().filter(c -> c.attempts().size() > 1).count();
        long late =
                calls.stream().filter(c -> c.refusedWith() == ResultCode.DEADLINE_PASSED).count();
        assertTrue(
                moved * 10 >= sentToGone.size() * 9,
                "moved %d of %d, deadline passed for %d of %d"
                        .formatted(moved, sentToGone.size(), late, calls.size()));
    }

    private static String firstUpstream(FakeTransport call) {
        return call.attempts().isEmpty() ? "" : call.attempts().get(0).upstream().id();
    }

    private static void answerUnlessGone(ForwardRig rig, FakeTransport call) {
        Attempt sent = call.last();
        if (sent.upstream().id().equals("p1")) {
            return;
        }
        rig.scheduler()
                .after(
                        LATENCY,
                        () -> {
                            if (call.last() == sent) {
                                call.call().onProgress();
                                call.call().onComplete(200);
                            }
                        });
    }
}
