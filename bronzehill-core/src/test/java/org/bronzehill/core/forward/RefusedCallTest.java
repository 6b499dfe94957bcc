package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests that upstreams have stated not to have run. */
public class RefusedCallTest {

    /** Requests that a plain upstream of the rig takes: one waits there for each one that runs. */
    private static final int PLACES = 4;

    private static final Duration PAUSE = Duration.ofMillis(200);

    /** Time in which an adapter is loaded. */
    private static final Duration LOAD = Duration.ofSeconds(1);

    private ForwardRig rig;

    @BeforeMethod
    public void setUp() {
        rig = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
    }

    private static String upstreamOf(FakeTransport t) {
        return t.last().upstream().id();
    }

    private static void refuse(FakeTransport t) {
        t.call().onNotRun("status-503", NotRunCause.REFUSED);
    }

    private static void complete(FakeTransport t) {
        t.call().onComplete(200);
    }

    /** Fills both upstreams, and returns the calls at each. */
    private Map<String, List<FakeTransport>> fill(RequestKind kind) {
        Map<String, List<FakeTransport>> calls =
                Stream.generate(() -> rig.open(kind, 2))
                        .limit(2 * PLACES)
                        .collect(Collectors.groupingBy(RefusedCallTest::upstreamOf));
        assertEquals(calls.get("p1").size(), PLACES);
        assertEquals(calls.get("p2").size(), PLACES);
        return calls;
    }

    /**
     * Guards against a request that runs while a repeated refusal of an earlier attempt is taken
     * for its answer.
     */
    @Test
    public void onceOnlyRequestIsNotSentAgainToTheUpstreamThatRefusedIt() {
        Map<String, List<FakeTransport>> calls = fill(RequestKind.ONCE_ONLY);
        FakeTransport t = calls.get("p1").get(0);
        refuse(t);
        rig.scheduler().advance(PAUSE);
        assertEquals(t.attempts().size(), 1);
        assertNull(t.refusedWith());
        complete(calls.get("p2").get(0));
        assertEquals(t.attempts().size(), 2);
        assertEquals(upstreamOf(t), "p2");
        refuse(t);
        assertEquals(t.attempts().size(), 2);
        assertEquals(t.refusedWith(), ResultCode.NO_UPSTREAM);
        assertTrue(t.retryAfter().isDefined());
    }

    /** Guards against a request that waits although its caller could already have come back. */
    @Test
    public void onceOnlyRequestDoesNotWaitForAnUnreachableUpstream() {
        Map<String, List<FakeTransport>> calls = fill(RequestKind.ONCE_ONLY);
        FakeTransport waiting = calls.get("p1").get(0);
        refuse(waiting);
        assertNull(waiting.refusedWith());
        calls.get("p2").get(0).call().onUnreachable("connect-failed");
        FakeTransport next = calls.get("p1").get(1);
        refuse(next);
        assertEquals(next.refusedWith(), ResultCode.NO_UPSTREAM);
        rig.scheduler().advance(Duration.ofMillis(50));
        assertEquals(waiting.refusedWith(), ResultCode.NO_UPSTREAM);
    }

    @Test
    public void onceOnlyRequestIsSentToTheNextIncarnation() {
        Map<String, List<FakeTransport>> calls = fill(RequestKind.ONCE_ONLY);
        FakeTransport t = calls.get("p1").get(0);
        refuse(t);
        rig.forwarder().onUpstream(ForwardRig.plain("p1", 200));
        rig.scheduler().advance(PAUSE);
        assertEquals(t.attempts().size(), 2);
        assertEquals(t.last().upstream().startedAtMs(), 200);
    }

    /** The upstream may have room again, and a second run does no harm. */
    @Test
    public void repeatableRequestIsSentAgainToTheUpstreamThatRefusedIt() {
        FakeTransport t = fill(RequestKind.IDEMPOTENT).get("p1").get(0);
        refuse(t);
        rig.scheduler().advance(PAUSE);
        assertEquals(t.attempts().size(), 2);
        assertEquals(upstreamOf(t), "p1");
    }

    /** Guards against a free upstream that gets no requests because others have queued earlier. */
    @Test
    public void refusedRequestsDoNotHoldUpOthers() {
        List<FakeTransport> atFirst = new ArrayList<>(fill(RequestKind.ONCE_ONLY).get("p1"));
        List<FakeTransport> refused = new ArrayList<>();
        for (int i = 0; i < 2 * PLACES; i++) {
            FakeTransport t = atFirst.remove(0);
            refuse(t);
            refused.add(t);
            atFirst.add(rig.open(RequestKind.ONCE_ONLY, 2));
        }
        FakeTransport behind = rig.open(RequestKind.ONCE_ONLY, 2);
        assertTrue(behind.attempts().isEmpty());
        complete(atFirst.get(0));
        assertEquals(behind.attempts().size(), 1);
        assertEquals(upstreamOf(behind), "p1");
        assertTrue(refused.stream().allMatch(t -> t.attempts().size() == 1));
    }

    /** Guards against the same with an engine at which a request has waited for its adapter. */
    @Test
    public void secondStatementOfAMissingAdapterDoesNotStateNotRun() {
        FakeTransport t = rig.open(RequestKind.STREAM, 2, Option.of(ForwardRig.adapter(1)));
        rig.scheduler().advance(LOAD);
        t.call().onNotRun("status-421", NotRunCause.ADAPTER_MISSING);
        rig.scheduler().advance(LOAD);
        assertEquals(t.attempts().size(), 2);
        t.call().onNotRun("status-421", NotRunCause.ADAPTER_MISSING);
        assertEquals(t.refusedWith(), ResultCode.UPSTREAM_FAILED);
    }

    /** An engine that has lacked the adapter cannot have refused the request otherwise before. */
    @Test
    public void refusalAfterAMissingAdapterIsBelieved() {
        FakeTransport t = rig.open(RequestKind.STREAM, 2, Option.of(ForwardRig.adapter(1)));
        rig.scheduler().advance(LOAD);
        t.call().onNotRun("status-421", NotRunCause.ADAPTER_MISSING);
        rig.scheduler().advance(LOAD);
        refuse(t);
        assertEquals(t.attempts().size(), 2);
        assertEquals(t.refusedWith(), ResultCode.NO_UPSTREAM);
    }
}
