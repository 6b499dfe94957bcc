package org.bronzehill.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.HandleUse;
import org.bronzehill.protocol.generated.HolderHandover;
import org.testng.annotations.Test;

/** Tests evictions, handles of earlier epochs and orders whose answer was lost. */
public class EvictionTest {

    private static SchedulerFixture withFullEngine() {
        SchedulerFixture f = new SchedulerFixture();
        f.upstream = SchedulerFixture.upstream(ListedState.LIVE, 2, 4, false);
        f.start(new Lease(SchedulerFixture.RESOURCE, 100, true, Set.of()), EvictionRule.SAFE);
        f.report();
        f.makeResident("a1");
        f.makeResident("a2");
        return f;
    }

    /**
     * Guards property P2 (an adapter that serves a request is never evicted): the evict order is
     * sent only after the intent was recorded, and never for a handle in use.
     */
    @Test
    public void evictsTheUnusedHandleAfterItsIntentWasRecorded() {
        SchedulerFixture f = withFullEngine();
        f.submit("hold", "chat", "a1");
        f.submit("r3", "chat", "a3");
        f.grant();
        assertEquals(f.intents.toString(), "[a2@1#100]");
        assertTrue(f.orders(OrderKind.EVICT).isEmpty());
        f.submit("r2", "chat", "a2");
        assertEquals(f.starts().stream().filter(s -> s.requestId().equals("r2")).count(), 0);
        f.scheduler.onIntentAcknowledged("a2@1#100", f.out);
        f.answer(f.lastOrder(OrderKind.EVICT), OrderOutcome.DONE);
        assertEquals(f.finishedIntents.toString(), "[a2@1#100]");
        assertEquals(f.lastOrder(OrderKind.LOAD).handle(), "a3@1#100");
    }

    /** Guards against evicting the most used adapter. */
    @Test
    public void evictsTheLeastUsedAdapter() {
        SchedulerFixture f = withFullEngine();
        for (int i = 0; i < 3; i++) {
            f.submit("u" + i, "chat", "a1");
            f.finish(f.lastStart());
        }
        f.submit("r3", "chat", "a3");
        f.grant();
        assertEquals(f.intents.toString(), "[a2@1#100]");
    }

    /**
     * Guards property P2 (an adapter that serves a request is never evicted) when every handle is
     * in use: the permit is returned and nothing is evicted.
     */
    @Test
    public void returnsThePermitWhenNothingMayBeEvicted() {
        SchedulerFixture f = withFullEngine();
        f.submit("r3", "chat", "a3");
        f.submit("u1", "chat", "a1");
        f.submit("u2", "chat", "a2");
        f.grant();
        f.advance(200);
        assertTrue(f.intents.isEmpty());
        assertTrue(f.returned.get(f.returned.size() - 1).endsWith(":unused"));
        assertNull(f.code("r3"));
    }

    /**
     * Guards property P2 (an adapter that serves a request is never evicted) after an attempt that
     * the engine may still run, although its connection was silent.
     */
    @Test
    public void keepsAHandleOnWhichARequestMayStillRun() {
        SchedulerFixture f = withFullEngine();
        f.submit("u1", "chat", "a1");
        f.submit("u2", "chat", "a2");
        f.scheduler.onAttemptFailed(f.lastStart().attemptId(), FailureReason.SILENT, 0, "", f.out);
        assertEquals(f.code("u2"), ResultCode.SILENT_CONNECTION);
        f.submit("r3", "chat", "a3");
        f.advance(3000);
        f.report("a1@1#100:1", "a2@1#100:1");
        assertTrue(f.permits.isEmpty());
        f.report("a1@1#100:1", "a2@1#100:0");
        f.grant();
        assertEquals(f.intents.toString(), "[a2@1#100]");
    }

    /**
     * Guards against evicting a handle of an earlier epoch while a request of an earlier holder may
     * run on it. A report made after the takeover wait must show no running request.
     */
    @Test
    public void earlierEpochHandleStaysUntilAReportAfterTheTakeoverWait() {
        SchedulerFixture f = new SchedulerFixture();
        f.upstream = SchedulerFixture.upstream(ListedState.LIVE, 1, 4, false);
        f.start(new Lease(SchedulerFixture.RESOURCE, 100, true, Set.of()), EvictionRule.SAFE);
        f.report("a1@1#50:0");
        f.submit("own", "chat", "a1");
        assertEquals(f.lastStart().handle(), "a1@1#50");
        f.finish(f.lastStart());
        f.submit("r2", "summary", "a2");
        f.advance(3900);
        f.report("a1@1#50:0");
        assertTrue(f.permits.isEmpty());
        f.advance(200);
        f.report("a1@1#50:1");
        assertTrue(f.permits.isEmpty());
        f.report("a1@1#50:0");
        assertEquals(f.permits.size(), 1);
    }

    /**
     * Guards the other condition for evicting a handle of an earlier epoch: the longest deadline
     * has passed since the takeover, so that every earlier request has ended.
     */
    @Test
    public void earlierEpochHandleIsEvictableAfterTheLongestDeadline() {
        SchedulerFixture f = new SchedulerFixture();
        f.upstream = SchedulerFixture.upstream(ListedState.LIVE, 1, 4, false);
        f.start(new Lease(SchedulerFixture.RESOURCE, 100, true, Set.of()), EvictionRule.SAFE);
        f.report("a1@1#50:1");
        f.submit("r1", "summary", "a2");
        assertTrue(f.permits.isEmpty());
        f.advance(3_600_050);
        f.submit("r2", "summary", "a2");
        assertEquals(f.permits.size(), 1);
    }

    /**
     * Guards against using a handle that an earlier holder may still evict, because its intent is
     * open.
     */
    @Test
    public void handleWithInheritedIntentIsNotUsed() {
        SchedulerFixture f = new SchedulerFixture();
        f.start(
                new Lease(SchedulerFixture.RESOURCE, 100, true, Set.of("a1@1#50", "a9@1#50")),
                EvictionRule.SAFE);
        f.report("a1@1#50:0", "a2@1#50:0");
        f.submit("r1", "summary", "a1");
        f.submit("r2", "summary", "a2");
        f.grant();
        assertEquals(f.lastOrder(OrderKind.LOAD).handle(), "a1@1#100");
        f.advance(1000);
        assertEquals(f.lastStart().handle(), "a2@1#50");
        f.advance(3200);
        f.report("a1@1#50:0", "a2@1#50:0");
        f.advance(50);
        assertEquals(f.finishedIntents.toString(), "[a9@1#50]");
    }

    /**
     * Guards against using a handle that an earlier holder may still evict when the grantors no
     * longer know the open intents: handles of earlier epochs are not used for 4 s.
     */
    @Test
    public void unknownHistoryDelaysTheUseOfEarlierHandles() {
        SchedulerFixture f = new SchedulerFixture();
        f.start(new Lease(SchedulerFixture.RESOURCE, 100, false, Set.of()), EvictionRule.SAFE);
        f.report("a1@1#50:0");
        f.submit("r1", "chat", "a1");
        assertTrue(f.starts().isEmpty());
        f.advance(4000);
        f.report("a1@1#50:0");
        assertEquals(f.lastStart().handle(), "a1@1#50");
    }

    /**
     * Guards against ignoring the handover of a planned stop: its handles can be used and evicted
     * without a takeover wait.
     */
    @Test
    public void handoverHandlesAreUsableAndEvictableAtOnce() {
        SchedulerFixture f = new SchedulerFixture();
        f.upstream = SchedulerFixture.upstream(ListedState.LIVE, 2, 4, false);
        f.start(new Lease(SchedulerFixture.RESOURCE, 100, false, Set.of()), EvictionRule.SAFE);
        HolderHandover handover =
                HolderHandover.newBuilder()
                        .setFencing(50)
                        .addHandles(HandleUse.newBuilder().setHandle("a1@1#50"))
                        .addHandles(HandleUse.newBuilder().setHandle("a2@1#50").setRunning(1))
                        .addOpenIntents("a3@1#50")
                        .build();
        f.scheduler.onHandover(handover, f.out);
        f.submit("r1", "chat", "a1");
        f.finish(f.lastStart());
        f.submit("r4", "chat", "a4");
        f.grant();
        assertEquals(f.intents.toString(), "[a1@1#50]");
        assertTrue(f.scheduler.handover().getOpenIntentsList().contains("a3@1#50"));
        assertTrue(f.scheduler.handover().getOpenIntentsList().contains("a1@1#50"));
    }

    /**
     * Guards against a slot and requests that are blocked forever by a lost answer to a load order.
     */
    @Test
    public void lostLoadAnswerIsResolvedFromReports() {
        SchedulerFixture f = SchedulerFixture.started();
        f.submit("r1", "summary", "a1");
        f.submit("r2", "summary", "a2");
        f.grant();
        f.grant();
        f.orders(OrderKind.LOAD).forEach(o -> f.answer(o, OrderOutcome.UNKNOWN));
        f.advance(1000);
        f.report("a1@1#100:0");
        f.advance(1000);
        assertEquals(f.lastStart().handle(), "a1@1#100");
        assertTrue(f.permits.isEmpty());
        f.advance(2000);
        f.report("a1@1#100:0");
        f.advance(300);
        assertEquals(f.permits.size(), 1);
    }

    /**
     * Guards property P2 (an adapter that serves a request is never evicted): while an evict order
     * may still arrive, its handle is neither used nor loaded again.
     */
    @Test
    public void lostEvictAnswerIsResolvedFromReports() {
        SchedulerFixture f = withFullEngine();
        f.submit("r3", "summary", "a3");
        f.grant();
        f.scheduler.onIntentAcknowledged("a1@1#100", f.out);
        f.answer(f.lastOrder(OrderKind.EVICT), OrderOutcome.UNKNOWN);
        f.submit("r1", "summary", "a1");
        f.report("a1@1#100:0", "a2@1#100:0");
        f.advance(3000);
        assertEquals(f.starts().size(), 2);
        f.report("a1@1#100:0", "a2@1#100:0");
        assertEquals(f.orders(OrderKind.EVICT).size(), 2);
        f.answer(f.lastOrder(OrderKind.EVICT), OrderOutcome.UNKNOWN);
        f.advance(3000);
        f.report("a2@1#100:0");
        assertEquals(f.finishedIntents.toString(), "[a1@1#100]");
    }

    /**
     * Guards against a retry storm on a failing store, and against requests that wait for it until
     * their deadline.
     */
    @Test
    public void failedLoadsBackOffAndEndTheirRequests() {
        SchedulerFixture f = SchedulerFixture.started();
        f.submit("r1", "summary", "a1");
        for (int i = 0; i < LoadPlanner.MAX_LOAD_FAILURES; i++) {
            f.grant();
            f.answer(f.lastOrder(OrderKind.LOAD), OrderOutcome.STORE_FAILED);
            assertTrue(f.permits.isEmpty());
            f.advance(250L << i);
        }
        assertEquals(f.orders(OrderKind.LOAD).size(), LoadPlanner.MAX_LOAD_FAILURES);
        assertEquals(f.code("r1"), ResultCode.LOAD_FAILED);
    }

    /** Guards against starting requests on a handle that the engine no longer has. */
    @Test
    public void laterReportWithoutAHandleRemovesIt() {
        SchedulerFixture f = withFullEngine();
        f.report();
        f.submit("r1", "chat", "a1");
        assertEquals(f.lastStart().requestId(), "r1");
        f.finish(f.lastStart());
        f.advance(4500);
        f.report("a2@1#100:0");
        f.submit("r2", "chat", "a1");
        assertFalse(f.lastStart().requestId().equals("r2"));
    }
}
