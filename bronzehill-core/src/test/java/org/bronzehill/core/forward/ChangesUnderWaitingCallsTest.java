package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;
import org.testng.annotations.Test;

/** Tests calls that wait while the configuration or the list of upstreams changes. */
public class ChangesUnderWaitingCallsTest {

    private static final Duration LOAD_TIME = Duration.ofMillis(250);

    /** Time for a decision that needs no upstream. */
    private static final Duration SOON = Duration.ofMillis(150);

    private static ForwardRig rig(int engines) {
        ForwardRig rig = new ForwardRig(engines, 4, LOAD_TIME, 8);
        rig.setTarget(Duration.ofSeconds(2));
        return rig;
    }

    /** Opens as many calls as both plain upstreams take. */
    private static List<FakeTransport> fillPlain(ForwardRig rig) {
        List<FakeTransport> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            calls.add(rig.open(RequestKind.ONCE_ONLY, 1));
        }
        return calls;
    }

    private static FakeTransport openForAdapter(ForwardRig rig) {
        return rig.open(RequestKind.STREAM, 2, Option.of(ForwardRig.adapter(1)));
    }

    private static void removeServices(ForwardRig rig) {
        rig.forwarder()
                .onConfiguration(
                        RoutingConfiguration.of(2, List.of(), List.of(), CallerLimits.INITIAL));
    }

    /** Guards against a request that waits until its deadline although nobody can serve it. */
    @Test
    public void queuedCallIsRefusedAtOnceWhenTheLastUpstreamIsGone() {
        ForwardRig rig = rig(1);
        fillPlain(rig);
        FakeTransport queued = rig.open(RequestKind.ONCE_ONLY, 1);
        assertTrue(queued.attempts().isEmpty());
        rig.forwarder().onUpstreamRemoved("p1");
        rig.forwarder().onUpstreamRemoved("p2");
        rig.scheduler().advance(SOON);
        assertEquals(queued.refusedWith(), ResultCode.NO_UPSTREAM);
        assertEquals(queued.refusedWith().runState(), RunState.NOT_RUN);
        assertTrue(queued.retryAfter().isDefined());
    }

    /** Guards against a request without an answer whose service the configuration drops. */
    @Test
    public void queuedCallIsServedAfterItsServiceHasLeftTheConfiguration() {
        ForwardRig rig = rig(1);
        List<FakeTransport> running = fillPlain(rig);
        FakeTransport queued = rig.open(RequestKind.ONCE_ONLY, 1);
        removeServices(rig);
        rig.scheduler().advance(SOON);
        running.get(0).call().onProgress();
        running.get(0).call().onComplete(200);
        rig.scheduler().advance(SOON);
        assertEquals(queued.attempts().size(), 1);
    }

    /** Guards against a request without an answer that waits between two attempts. */
    @Test
    public void callBetweenAttemptsEndsWhenTheLastUpstreamIsGone() {
        ForwardRig rig = rig(1);
        FakeTransport repeated = rig.open(RequestKind.IDEMPOTENT, 2);
        for (int i = 0; i < 7; i++) {
            rig.open(RequestKind.ONCE_ONLY, 1);
        }
        UpstreamRecord first = repeated.last().upstream();
        rig.forwarder().onUpstreamRemoved(first.id());
        repeated.call().onConnectionLost("reset");
        rig.scheduler().advance(SOON);
        assertEquals(repeated.attempts().size(), 1);
        rig.forwarder().onUpstreamRemoved(first.id().equals("p1") ? "p2" : "p1");
        rig.scheduler().advance(SOON);
        assertEquals(repeated.refusedWith(), ResultCode.UPSTREAM_FAILED);
    }

    @Test
    public void callAwaitingAnAdapterIsRefusedAtOnceWhenItsOnlyEngineIsGone() {
        ForwardRig rig = rig(1);
        FakeTransport waiting = openForAdapter(rig);
        assertTrue(waiting.call().isAwaitingAdapter());
        rig.forwarder().onUpstreamRemoved("e1");
        rig.scheduler().advance(SOON);
        assertEquals(waiting.refusedWith(), ResultCode.NO_UPSTREAM);
    }

    /** Guards against a request that waits for an adapter at an engine that will not serve it. */
    @Test
    public void callAwaitingAnAdapterIsServedElsewhereWhenItsEngineLeaves() {
        ForwardRig rig = rig(2);
        FakeTransport waiting = openForAdapter(rig);
        String first = waiting.call().upstream().id();
        rig.forwarder().onUpstream(ForwardRig.engine(first, true));
        rig.scheduler().advance(LOAD_TIME.multipliedBy(3));
        assertEquals(waiting.attempts().size(), 1);
        assertEquals(waiting.last().upstream().id(), first.equals("e1") ? "e2" : "e1");
    }

    /** Guards against a request without an answer whose engines the configuration drops. */
    @Test
    public void callAwaitingAnAdapterEndsWhenItsServiceLeavesTheConfiguration() {
        ForwardRig rig = rig(1);
        FakeTransport waiting = openForAdapter(rig);
        assertTrue(waiting.call().isAwaitingAdapter());
        removeServices(rig);
        rig.scheduler().advance(Duration.ofSeconds(2));
        assertTrue(!waiting.attempts().isEmpty() || waiting.refusedWith() != null);
    }

    /** Guards against a request that is run by a service to which its route does not lead. */
    @Test
    public void callAwaitingAnAdapterIsNotSentToAnEngineOfAnotherService() {
        ForwardRig rig = rig(1);
        FakeTransport waiting = openForAdapter(rig);
        UpstreamRecord e = ForwardRig.engine("e1", false);
        rig.forwarder()
                .onUpstream(
                        new UpstreamRecord(
                                e.id(),
                                e.startedAtMs(),
                                ForwardRig.PLAIN,
                                e.host(),
                                e.port(),
                                e.dataCentre(),
                                e.slots(),
                                e.softwareVersion(),
                                false,
                                Set.of("m"),
                                Map.of()));
        rig.scheduler().advance(Duration.ofSeconds(2));
        assertTrue(waiting.attempts().isEmpty());
        assertNotNull(waiting.refusedWith());
    }

    /** Guards against a request that an upstream has and that a removed record ends. */
    @Test
    public void sentCallGoesOnWhenItsUpstreamAndServiceAreGone() {
        ForwardRig rig = rig(1);
        FakeTransport sent = rig.open(RequestKind.ONCE_ONLY, 1);
        rig.forwarder().onUpstreamRemoved("p1");
        rig.forwarder().onUpstreamRemoved("p2");
        removeServices(rig);
        rig.scheduler().advance(Duration.ofSeconds(5));
        assertEquals(sent.cancelled(), 0);
        assertNull(sent.refusedWith());
    }
}
