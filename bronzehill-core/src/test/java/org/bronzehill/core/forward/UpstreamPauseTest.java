package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests upstreams that reject a request and state for how long they want none. */
public class UpstreamPauseTest {

    private static final Duration PAUSE = Duration.ofSeconds(3);

    private ForwardRig rig;

    @BeforeMethod
    public void createRig() {
        rig = new ForwardRig(2, 4, Duration.ofMillis(250), 8);
    }

    private static String reject(FakeTransport t) {
        return reject(t, PAUSE);
    }

    private static String reject(FakeTransport t, Duration pause) {
        String upstream = t.last().upstream().id();
        t.call().onNotice(new UpstreamNotice(false, Option.of(pause), Option.none()));
        t.call().onNotRun("status-503", NotRunCause.REFUSED);
        return upstream;
    }

    /** Guards against requests to an upstream within the time for which it wants none. */
    @Test
    public void noRequestReachesAPausingUpstream() {
        String pausing = reject(rig.open(RequestKind.IDEMPOTENT, 2));
        for (int i = 0; i < 28; i++) {
            FakeTransport t = rig.open(RequestKind.IDEMPOTENT, 2);
            assertNotEquals(t.last().upstream().id(), pausing);
            t.call().onComplete(200);
            rig.scheduler().advance(Duration.ofMillis(100));
        }
        rig.scheduler().advance(Duration.ofMillis(300));
        boolean usedAgain = false;
        for (int i = 0; i < 20; i++) {
            FakeTransport t = rig.open(RequestKind.IDEMPOTENT, 2);
            usedAgain |= t.last().upstream().id().equals(pausing);
            t.call().onComplete(200);
        }
        assertTrue(usedAgain);
    }

    /** Guards against a pause that an answer to an earlier request ends. */
    @Test
    public void successOfAnEarlierRequestDoesNotEndThePause() {
        // Two of three calls share one of the two upstreams.
        List<FakeTransport> calls =
                Stream.generate(() -> rig.open(RequestKind.IDEMPOTENT, 2)).limit(3).toList();
        String shared =
                calls.stream()
                        .map(t -> t.last().upstream().id())
                        .filter(id -> calls.stream().filter(t -> isAt(t, id)).count() > 1)
                        .findFirst()
                        .orElseThrow();
        List<FakeTransport> sharing = calls.stream().filter(t -> isAt(t, shared)).toList();
        String pausing = reject(sharing.get(0));
        sharing.get(1).call().onComplete(200);
        for (int i = 0; i < 2; i++) {
            assertNotEquals(rig.open(RequestKind.IDEMPOTENT, 2).last().upstream().id(), pausing);
        }
    }

    private static boolean isAt(FakeTransport t, String upstream) {
        return t.last().upstream().id().equals(upstream);
    }

    /** Guards against callers that wait for upstreams which will not serve them in time. */
    @Test
    public void callIsRefusedAtOnceIfAllUpstreamsPauseForLonger() {
        Duration beyondTheDeadline = Duration.ofSeconds(20);
        reject(rig.open(RequestKind.IDEMPOTENT, 2), beyondTheDeadline);
        FakeTransport second = rig.open(RequestKind.IDEMPOTENT, 2);
        reject(second, beyondTheDeadline);
        assertEquals(second.refusedWith(), ResultCode.NO_UPSTREAM);
        FakeTransport third = rig.open(RequestKind.IDEMPOTENT, 2);
        assertEquals(third.refusedWith(), ResultCode.NO_UPSTREAM);
        assertTrue(third.retryAfter().get().compareTo(Duration.ofSeconds(1)) > 0);
    }

    /** Guards against a request that waited for its adapter and is sent within the pause. */
    @Test
    public void requestThatWaitedForItsAdapterIsSentElsewhere() {
        ForwardRig one = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
        FakeTransport waiting = one.open(RequestKind.STREAM, 2, Option.of(ForwardRig.adapter(1)));
        FakeTransport base = one.open(RequestKind.STREAM, 2, Option.of(new AdapterRef("m", "")));
        base.call().onNotice(new UpstreamNotice(false, Option.of(PAUSE), Option.none()));
        one.scheduler().advance(Duration.ofSeconds(1));
        assertEquals(waiting.attempts().size(), 0);
    }
}
