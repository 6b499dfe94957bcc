package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.time.Duration;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.Test;

/**
 * Tests which requests are sent during a planned stop, and what becomes of the others. The requests
 * of the rig have 8 s.
 */
public class PlannedStopTest {

    private static final Duration LAST_ARRIVAL = Duration.ofSeconds(2);
    private static final Duration END = Duration.ofSeconds(7);

    private static ForwardRig stoppingRig() {
        ForwardRig rig = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
        rig.forwarder().drain(LAST_ARRIVAL, END);
        return rig;
    }

    @Test
    public void earlyRequestIsSent() {
        ForwardRig rig = stoppingRig();
        rig.scheduler().advance(Duration.ofSeconds(1));
        FakeTransport t = rig.open(RequestKind.ONCE_ONLY, 1);
        assertEquals(t.attempts().size(), 1);
        rig.scheduler().advance(Duration.ofSeconds(4));
        assertNull(t.refusedWith());
    }

    /** Guards against a once-only request that is sent late in the stop and cut at its end. */
    @Test
    public void lateRequestIsRefusedAsNotRun() {
        ForwardRig rig = stoppingRig();
        rig.scheduler().advance(LAST_ARRIVAL);
        FakeTransport t = rig.open(RequestKind.ONCE_ONLY, 1);
        assertEquals(t.attempts().size(), 0);
        assertEquals(t.refusedWith(), ResultCode.DRAINING);
    }

    /** Guards against a stop that callers prolong with requests that end before it does. */
    @Test
    public void veryLateRequestIsRefusedAlthoughItEndsInTime() {
        ForwardRig rig = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
        rig.forwarder().drain(LAST_ARRIVAL, Duration.ofSeconds(20));
        rig.scheduler().advance(Duration.ofMillis(10_500));
        assertEquals(rig.open(RequestKind.ONCE_ONLY, 1).attempts().size(), 1);
        // Half of the time from the last arrival to the end has passed.
        rig.scheduler().advance(Duration.ofMillis(500));
        FakeTransport t = rig.open(RequestKind.ONCE_ONLY, 1);
        assertEquals(t.attempts().size(), 0);
        assertEquals(t.refusedWith(), ResultCode.DRAINING);
    }

    /** Guards against a request that waits for a place and is sent just before the end. */
    @Test
    public void requestThatStillWaitsIsRefusedAsNotRun() {
        ForwardRig rig = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
        rig.setTarget(Duration.ofSeconds(8));
        rig.forwarder().drain(LAST_ARRIVAL, END);
        FakeTransport t = rig.open(RequestKind.ONCE_ONLY, 1);
        while (!t.attempts().isEmpty()) {
            t = rig.open(RequestKind.ONCE_ONLY, 1);
        }
        rig.scheduler().advance(Duration.ofMillis(4400));
        assertNull(t.refusedWith());
        rig.scheduler().advance(Duration.ofMillis(200));
        assertEquals(t.attempts().size(), 0);
        assertEquals(t.refusedWith(), ResultCode.DRAINING);
    }

    /** Guards against requests that are cut without an answer at the end of the stop. */
    @Test
    public void openRequestsAreAnsweredAtTheEnd() {
        ForwardRig rig = stoppingRig();
        FakeTransport sent = rig.open(RequestKind.ONCE_ONLY, 1);
        rig.scheduler().advance(END);
        assertEquals(rig.forwarder().endOpenCalls(), 1);
        assertEquals(sent.cancelled(), 1);
        assertEquals(sent.refusedWith(), ResultCode.UPSTREAM_FAILED);
        assertEquals(rig.forwarder().openCalls(), 0);
    }
}
