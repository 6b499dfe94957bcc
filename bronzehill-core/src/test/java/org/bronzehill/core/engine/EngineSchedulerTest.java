package org.bronzehill.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.Test;

/** Tests requests, attempts and engine states with one scheduler on virtual time. */
public class EngineSchedulerTest {

    /**
     * Guards against a second load of an adapter that is already being loaded for an earlier
     * request.
     */
    @Test
    public void requestsForOneAdapterShareOneLoad() {
        SchedulerFixture f = SchedulerFixture.started();
        f.submit("r1", "chat", "a1");
        f.submit("r2", "chat", "a1");
        assertEquals(f.permits.size(), 1);
        f.grant();
        f.submit("r3", "chat", "a1");
        f.advance(100);
        f.answer(f.lastOrder(OrderKind.LOAD), OrderOutcome.DONE);
        assertEquals(f.orders(OrderKind.LOAD).size(), 1);
        assertEquals(f.starts().size(), 3);
        f.starts().forEach(f::finish);
        assertEquals(f.code("r3"), ResultCode.OK);
        EngineResult first = f.results.get("r1").get(0);
        assertEquals(first.loadStall().toMillis(), 100);
        assertEquals(first.version(), 1);
        assertEquals(first.configurationNumber(), 1);
        assertEquals(f.returned.size(), 1);
    }

    /**
     * Guards property P1 (a request runs only on a version to which its caller is entitled): after
     * a pin has changed while a request waits, the request must run on the new version.
     */
    @Test
    public void versionIsResolvedAgainAtDispatch() {
        SchedulerFixture f = SchedulerFixture.started();
        f.submit("r1", "chat", "a1");
        f.grant();
        f.versions.put("a1", 2);
        f.configure();
        f.answer(f.lastOrder(OrderKind.LOAD), OrderOutcome.DONE);
        assertTrue(f.starts().isEmpty());
        f.grant();
        f.answer(f.lastOrder(OrderKind.LOAD), OrderOutcome.DONE);
        assertEquals(f.lastStart().handle(), "a1@2#100");
        f.finish(f.lastStart());
        assertEquals(f.results.get("r1").get(0).version(), 2);
        assertEquals(f.results.get("r1").get(0).configurationNumber(), 2);
    }

    /**
     * Guards property P1 (a request runs only on a version to which its caller is entitled): a
     * caller that loses its entitlement while its request waits must not be served.
     */
    @Test
    public void entitlementIsCheckedAgainAtDispatch() {
        SchedulerFixture f = SchedulerFixture.started();
        f.submit("r1", "chat", "a1");
        f.grant();
        f.groups = Set.of("other");
        f.configure();
        f.answer(f.lastOrder(OrderKind.LOAD), OrderOutcome.DONE);
        assertTrue(f.starts().isEmpty());
        assertEquals(f.code("r1"), ResultCode.NOT_ENTITLED);
    }

    /**
     * Guards against handles and attempts that are still assumed to exist after a restart of the
     * engine.
     */
    @Test
    public void restartDropsResidencyAndFailsAttempts() {
        SchedulerFixture f = SchedulerFixture.started();
        f.makeResident("a1");
        f.submit("r1", "chat", "a1");
        f.submit("r2", "chat", "a2");
        f.reportFrom(2);
        assertEquals(f.code("r1"), ResultCode.UPSTREAM_FAILED);
        assertEquals(f.crashCount("r1".getBytes()), 1);
        assertEquals(f.crashCount("r2".getBytes()), 0);
        f.submit("r3", "chat", "a1");
        assertNull(f.code("r3"));
        assertEquals(f.permits.size(), 2);
        f.scheduler.onAttemptFinished(f.lastStart().attemptId(), 1, 1, f.out);
        assertEquals(f.results.get("r1").size(), 1);
    }

    /**
     * Guards property P6: a leaving engine gets no new request or load, and finishes its running
     * requests.
     */
    @Test
    public void leavingEngineFinishesRunningRequests() {
        SchedulerFixture f = SchedulerFixture.started();
        f.makeResident("a1");
        f.submit("running", "chat", "a1");
        f.submit("waiting", "chat", "a2");
        f.scheduler.onUpstream(SchedulerFixture.upstream(ListedState.LEAVING, 4, 4, false), f.out);
        assertEquals(f.code("waiting"), ResultCode.NO_UPSTREAM);
        assertTrue(f.permits.isEmpty());
        int before = f.effects.size();
        f.submit("late", "chat", "a1");
        f.advance(1000);
        assertEquals(f.code("late"), ResultCode.NO_UPSTREAM);
        f.finish(f.lastStart());
        assertEquals(f.code("running"), ResultCode.OK);
        assertTrue(
                f.effects.subList(before, f.effects.size()).stream()
                        .noneMatch(
                                e ->
                                        e instanceof Effect.StartAttempt
                                                || e instanceof Effect.OrderEngine));
    }

    /**
     * Guards property P4 (a request reported as not run has not run): when the lease is lost,
     * queued requests end as not run and running requests are not cut off.
     */
    @Test
    public void lostLeaseEndsQueuedAndKeepsRunningRequests() {
        SchedulerFixture f = SchedulerFixture.started();
        f.makeResident("a1");
        f.submit("running", "chat", "a1");
        f.submit("waiting", "chat", "a2");
        f.leaseHeld = false;
        f.scheduler.onLeaseLost(f.out);
        assertEquals(f.code("waiting"), ResultCode.NO_HOLDER);
        assertNull(f.code("running"));
        f.finish(f.lastStart());
        assertEquals(f.code("running"), ResultCode.OK);
        assertEquals(f.scheduler.inFlight(), 0);
        assertTrue(f.all(Effect.CancelAttempt.class).isEmpty());
    }

    /**
     * Guards against orders and attempts under a lease that has expired before its loss was
     * reported.
     */
    @Test
    public void nothingIsOrderedWithoutLease() {
        SchedulerFixture f = SchedulerFixture.started();
        f.makeResident("a1");
        f.submit("r1", "chat", "a2");
        f.leaseHeld = false;
        int orders = f.orders(OrderKind.LOAD).size();
        f.grant();
        f.submit("r2", "chat", "a1");
        assertEquals(f.orders(OrderKind.LOAD).size(), orders);
        assertEquals(f.code("r2"), ResultCode.NO_HOLDER);
    }

    /**
     * Guards against running two requests with crash marks at once: both would get a second mark
     * from one crash.
     */
    @Test
    public void markedRequestsRunOneAtATime() {
        SchedulerFixture f = SchedulerFixture.started();
        f.makeResident("a1");
        f.marks.put("r1", 1);
        f.marks.put("r2", 1);
        f.marks.put("r3", 2);
        f.submit("r1", "chat", "a1");
        f.submit("r2", "chat", "a1");
        f.submit("r3", "chat", "a1");
        f.submit("r4", "chat", "a1");
        assertEquals(f.code("r3"), ResultCode.CRASHES_UPSTREAMS);
        assertEquals(f.lastStart().requestId(), "r4");
        assertEquals(f.starts().size(), 3);
        // A broken connection reported by several attempts counts as one crash.
        long r1 = f.starts().get(1).attemptId();
        long r4 = f.starts().get(2).attemptId();
        f.scheduler.onAttemptFailed(r1, FailureReason.BROKEN, 0, "", f.out);
        f.scheduler.onAttemptFailed(r4, FailureReason.BROKEN, 0, "", f.out);
        assertEquals(f.crashCount("r1".getBytes()), 2);
        assertEquals(f.crashCount("r4".getBytes()), 1);
        assertEquals(f.lastStart().requestId(), "r2");
    }

    /** Guards against an attempt that never ends because its transport reports nothing. */
    @Test
    public void attemptEndsAfterItsDeadline() {
        SchedulerFixture f = SchedulerFixture.started();
        f.makeResident("a1");
        f.submit("r1", "chat", "a1");
        assertEquals(f.lastStart().limits().idleTimeout().toSeconds(), 5);
        f.advance(11_100);
        assertEquals(f.code("r1"), ResultCode.DEADLINE_PASSED);
        assertEquals(f.all(Effect.CancelAttempt.class).size(), 1);
        assertEquals(f.scheduler.inFlight(), 0);
    }

    /**
     * Guards against losing a request when the engine does not know its handle; the refused attempt
     * has not run (property P4), so the request is queued again.
     */
    @Test
    public void unknownHandleIsLoadedAgain() {
        SchedulerFixture f = SchedulerFixture.started();
        f.makeResident("a1");
        f.submit("r1", "chat", "a1");
        f.scheduler.onAttemptFailed(
                f.lastStart().attemptId(), FailureReason.REFUSED, 0, "unknown_handle", f.out);
        assertNull(f.code("r1"));
        f.grant();
        f.answer(f.lastOrder(OrderKind.LOAD), OrderOutcome.DONE);
        f.finish(f.lastStart());
        assertEquals(f.code("r1"), ResultCode.OK);
    }

    /**
     * Guards against a planned stop that cuts off running requests or waits for requests whose
     * adapter is not loaded.
     */
    @Test
    public void drainFinishesRunningRequests() {
        SchedulerFixture f = SchedulerFixture.started();
        f.makeResident("a1");
        f.submit("running", "chat", "a1");
        f.submit("cold", "chat", "a2");
        f.scheduler.drain(f.out);
        f.submit("new", "chat", "a1");
        assertEquals(f.code("cold"), ResultCode.DRAINING);
        assertEquals(f.code("new"), ResultCode.DRAINING);
        assertEquals(f.scheduler.inFlight(), 1);
        f.finish(f.lastStart());
        assertEquals(f.code("running"), ResultCode.OK);
        assertEquals(f.scheduler.handover().getHandlesList().get(0).getRunning(), 0);
    }

    /** Guards against requests that stay queued while the engine is unreachable. */
    @Test
    public void unreachableEngineEndsItsQueuedRequests() {
        SchedulerFixture f = SchedulerFixture.started();
        f.submit("r1", "chat", "a1");
        for (int i = 0; i < 9; i++) {
            f.scheduler.onReportFailed(f.out);
            f.advance(250);
        }
        f.scheduler.onReportFailed(f.out);
        assertEquals(f.code("r1"), ResultCode.NO_UPSTREAM);
        f.report();
        f.submit("r2", "chat", "a1");
        assertNull(f.code("r2"));
    }

    /** Guards against a cancelled request that does not end, whether it waits or runs. */
    @Test
    public void cancelEndsWaitingAndRunningRequests() {
        SchedulerFixture f = SchedulerFixture.started();
        f.makeResident("a1");
        f.submit("running", "chat", "a1");
        f.submit("waiting", "chat", "a2");
        f.scheduler.cancel("running", 1, f.out);
        f.scheduler.cancel("waiting", 1, f.out);
        assertEquals(f.code("waiting"), ResultCode.CANCELLED);
        assertNull(f.code("running"));
        f.scheduler.onAttemptFailed(
                f.lastStart().attemptId(), FailureReason.CANCELLED, 0, "", f.out);
        assertEquals(f.code("running"), ResultCode.CANCELLED);
        assertTrue(f.permits.isEmpty());
    }
}
