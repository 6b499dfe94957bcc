package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.Test;

/** Tests that instances know which software version began a stream that another one served. */
public class StreamOriginFleetTest {

    private static final Duration SETTLED = Duration.ofSeconds(4);

    /** Time without answers after which others are suspected to have failed, but not given up. */
    private static final Duration SUSPECTED = Duration.ofMillis(2500);

    /** More than a question takes, with all its repeats. */
    private static final Duration LOOKUP = Duration.ofMillis(400);

    /** Time for a question and its answer: one round trip, and the time to collect questions. */
    private static final Duration ROUND_TRIP =
            Duration.ofMillis(3).plus(StreamOriginExchange.BATCH_INTERVAL);

    /** Bound on all control traffic of an instance. */
    private static final int MAX_CONTROL_BYTES_PER_SECOND = 20_000;

    /** New streams of an instance per second in the largest fleet: 8,100 on 380 instances. */
    private static final int STREAMS_PER_SECOND = 21;

    /** Returns a fleet before one engine of an old version and one of a new version. */
    private static FleetRig fleet(int size) {
        FleetRig rig = new FleetRig(size, 3, 0);
        rig.list("e1", "v1");
        rig.list("e2", "v2");
        rig.run(SETTLED);
        return rig;
    }

    private static FakeTransport begin(FleetRig.Node node) {
        FakeTransport t = node.stream(List.of());
        t.call().onAnswerBegun();
        t.call().onProgress();
        return t;
    }

    private static String upstreamOf(FakeTransport t) {
        return t.last().upstream().id();
    }

    private static String idOf(FakeTransport t) {
        return t.call().request().id();
    }

    private static void assertContinuedAt(FakeTransport resumed, FakeTransport begun) {
        assertEquals(resumed.attempts().size(), 1, "attempts of " + idOf(begun));
        assertEquals(upstreamOf(resumed), upstreamOf(begun));
        resumed.call().onCallerDisconnected();
    }

    /**
     * Guards against joins after the instance that served a stream is killed at its first event.
     */
    @Test
    public void streamOfAKilledInstanceIsContinuedAnywhereAtItsVersion() {
        FleetRig rig = fleet(9);
        for (int killed = 1; killed < 9; killed++) {
            FakeTransport begun = begin(rig.node(killed));
            rig.kill(killed);
            rig.run(ROUND_TRIP);
            FakeTransport resumed = rig.node(0).resume(idOf(begun));
            rig.run(LOOKUP);
            assertContinuedAt(resumed, begun);
            rig.restart(killed);
            rig.run(SETTLED);
        }
    }

    /** Guards against resumed streams that wait although a copy is near. */
    @Test
    public void originIsFoundWithinARoundTrip() {
        FleetRig rig = fleet(9);
        FakeTransport begun = begin(rig.node(1));
        rig.run(ROUND_TRIP);
        FakeTransport resumed = rig.node(5).resume(idOf(begun));
        rig.run(ROUND_TRIP);
        assertContinuedAt(resumed, begun);
    }

    /** Guards against streams that nobody knows after most instances were killed at once. */
    @Test
    public void mostStreamsAreKnownAfterMostInstancesAreKilled() {
        FleetRig rig = fleet(10);
        List<FakeTransport> begun = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            FakeTransport t = begin(rig.node(4 + i % 6));
            begun.add(t);
            rig.run(ROUND_TRIP);
            t.call().onProgress();
            t.call().onCallerDisconnected();
        }
        for (int i = 4; i < 10; i++) {
            rig.kill(i);
        }
        int continued = 0;
        for (FakeTransport t : begun) {
            FakeTransport resumed = rig.node(0).resume(idOf(t));
            rig.run(LOOKUP);
            if (!resumed.attempts().isEmpty()) {
                assertContinuedAt(resumed, t);
                continued++;
            } else {
                assertEquals(resumed.refusedWith(), ResultCode.STREAM_NOT_RESUMABLE);
            }
        }
        assertTrue(continued >= begun.size() / 2, continued + " of " + begun.size());
    }

    /** Guards against streams that are lost although one instance of a small fleet survives. */
    @Test
    public void oneSurvivorKnowsAllStreams() {
        FleetRig rig = fleet(9);
        List<FakeTransport> begun = new ArrayList<>();
        for (int i = 1; i < 9; i++) {
            begun.add(begin(rig.node(i)));
        }
        rig.run(ROUND_TRIP);
        for (int i = 1; i < 9; i++) {
            rig.kill(i);
        }
        rig.run(Duration.ofSeconds(1));
        for (int i = 1; i < 9; i++) {
            rig.restart(i);
        }
        rig.list("e1", "v1");
        rig.list("e2", "v2");
        rig.run(SETTLED);
        for (int i = 0; i < 8; i++) {
            FakeTransport resumed = rig.node(1 + (i + 3) % 8).resume(idOf(begun.get(i)));
            rig.run(LOOKUP);
            assertContinuedAt(resumed, begun.get(i));
        }
    }

    /** Guards against an instance that refuses streams because it has just been started. */
    @Test
    public void startedInstanceAsksTheOthers() {
        FleetRig rig = fleet(9);
        FakeTransport begun = begin(rig.node(1));
        rig.run(ROUND_TRIP);
        FleetRig.Node started = rig.restart(5);
        rig.list("e1", "v1");
        rig.list("e2", "v2");
        FakeTransport resumed = started.resume(idOf(begun));
        rig.run(LOOKUP);
        assertContinuedAt(resumed, begun);
    }

    /** Guards against streams that are refused because others answered no probes for a moment. */
    @Test
    public void suspectedInstancesAreAsked() {
        FleetRig rig = fleet(3);
        FakeTransport begun = begin(rig.node(1));
        rig.run(ROUND_TRIP);
        rig.kill(2);
        FleetRig.Node started = rig.restart(0);
        rig.list("e1", "v1");
        rig.list("e2", "v2");
        rig.run(SETTLED);
        started.partition = 1;
        rig.runPartitioned(SUSPECTED);
        assertTrue(started.membership.live().size() == 1, "not suspected");
        started.partition = 0;
        FakeTransport resumed = started.resume(idOf(begun));
        rig.run(LOOKUP);
        assertContinuedAt(resumed, begun);
    }

    /** The same for reports of streams that begin meanwhile. */
    @Test
    public void suspectedInstancesAreTold() {
        FleetRig rig = fleet(3);
        rig.node(1).partition = 1;
        rig.runPartitioned(SUSPECTED);
        assertTrue(rig.node(1).membership.live().size() == 1, "not suspected");
        rig.node(1).partition = 0;
        FakeTransport begun = begin(rig.node(1));
        rig.kill(1);
        rig.run(ROUND_TRIP);
        FakeTransport resumed = rig.node(0).resume(idOf(begun));
        rig.run(LOOKUP);
        assertContinuedAt(resumed, begun);
    }

    /** Guards against streams that only an instance knows which is about to stop. */
    @Test
    public void stoppingInstanceIsAsked() {
        FleetRig rig = fleet(3);
        FakeTransport begun = begin(rig.node(1));
        rig.run(ROUND_TRIP);
        rig.kill(2);
        FleetRig.Node started = rig.restart(0);
        rig.list("e1", "v1");
        rig.list("e2", "v2");
        rig.run(SETTLED);
        rig.node(1).forwarder.drain(Duration.ofSeconds(2), Duration.ofSeconds(7));
        rig.run(ROUND_TRIP);
        FakeTransport resumed = started.resume(idOf(begun));
        rig.run(LOOKUP);
        assertContinuedAt(resumed, begun);
    }

    /** Guards against lost messages that make a stream unknown. */
    @Test
    public void lostMessagesAreMadeUpFor() {
        FleetRig rig = fleet(9);
        rig.setLoss(0.1);
        for (int i = 0; i < 30; i++) {
            FakeTransport begun = begin(rig.node(1 + i % 4));
            rig.run(ROUND_TRIP);
            begun.call().onCallerDisconnected();
            FakeTransport resumed = rig.node(5 + i % 4).resume(idOf(begun));
            rig.run(LOOKUP);
            assertContinuedAt(resumed, begun);
        }
    }

    /** Guards against joins after all instances were killed and started again. */
    @Test
    public void streamThatNobodyKnowsIsRefused() {
        FleetRig rig = fleet(3);
        FakeTransport begun = begin(rig.node(1));
        for (int i = 0; i < 3; i++) {
            rig.kill(i);
        }
        for (int i = 0; i < 3; i++) {
            rig.restart(i);
        }
        rig.list("e1", "v1");
        rig.list("e2", "v2");
        FakeTransport resumed = rig.node(2).resume(idOf(begun));
        rig.run(Duration.ofSeconds(2));
        assertEquals(resumed.attempts(), List.of());
        assertEquals(resumed.refusedWith(), ResultCode.STREAM_NOT_RESUMABLE);
        // Another instance may know the stream, so the caller need not wait.
        assertTrue(resumed.retryAfter().isEmpty());
    }

    /** Guards against callers that wait for an instance which is down. */
    @Test
    public void streamThatNobodyKnowsIsRefusedAtOnce() {
        FleetRig rig = fleet(9);
        FakeTransport resumed = rig.node(0).resume("unknown");
        rig.run(ROUND_TRIP);
        assertEquals(resumed.refusedWith(), ResultCode.STREAM_NOT_RESUMABLE);
        rig.kill(3);
        rig.run(SETTLED);
        resumed = rig.node(0).resume("unknown too");
        rig.run(ROUND_TRIP);
        assertEquals(resumed.refusedWith(), ResultCode.STREAM_NOT_RESUMABLE);
    }

    /** Guards against reports of streams that take more than the bound on control traffic. */
    @Test
    public void reportsOfStreamsStayWithinTheBoundOnControlTraffic() {
        FleetRig rig = fleet(60);
        rig.list("e1", "");
        rig.clearReceived();
        rig.run(Duration.ofSeconds(1));
        long usual = rig.node(7).sentBytes;
        rig.list("e1", "v1");
        rig.clearReceived();
        for (int i = 0; i < STREAMS_PER_SECOND; i++) {
            FakeTransport t = begin(rig.node(7));
            t.call().onCallerDisconnected();
        }
        rig.run(Duration.ofSeconds(1));
        long all = rig.node(7).sentBytes;
        assertTrue(all < MAX_CONTROL_BYTES_PER_SECOND, all + " bytes, " + usual + " without");
    }
}
