package org.bronzehill.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.config.Policy;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.PermitRequest;
import org.testng.annotations.Test;

/** Tests refusals, the order of loads, grouping and metrics with one scheduler on virtual time. */
public class SchedulerAdmissionTest {

    /** Guards against queuing requests that cannot be answered before their deadline. */
    @Test
    public void hopelessRequestIsRefusedOnArrival() {
        SchedulerFixture f = SchedulerFixture.started();
        f.scheduler.submit(f.request("r1", "m1", "chat", "a1", 100), f.out);
        assertEquals(f.code("r1"), ResultCode.DEADLINE_HOPELESS);
        f.alternative = "e2";
        f.scheduler.submit(f.request("r2", "m1", "chat", "a2", 100), f.out);
        assertEquals(f.code("r2"), ResultCode.REDIRECT);
        assertEquals(f.results.get("r2").get(0).redirectTo(), "e2");
    }

    /** Guards against an adapter that is never loaded because all its requests are refused. */
    @Test
    public void refusedRequestsStillLeadToALoad() {
        SchedulerFixture f = SchedulerFixture.started();
        for (int i = 0; i < 3; i++) {
            f.scheduler.submit(f.request("r" + i, "m1", "chat", "a1", 100), f.out);
        }
        assertEquals(f.permits.size(), 1);
        f.advance(30_000);
        assertTrue(f.permits.isEmpty());
    }

    /**
     * Guards against a request that waits past its deadline, and against a permit request that is
     * never withdrawn.
     */
    @Test
    public void waitingRequestEndsAtItsDeadline() {
        SchedulerFixture f = SchedulerFixture.started();
        f.submit("r1", "chat", "a1");
        f.advance(10_000);
        assertEquals(f.code("r1"), ResultCode.DEADLINE_HOPELESS);
        assertTrue(f.results.get("r1").get(0).loadStall().toSeconds() >= 9);
        assertTrue(f.starts().isEmpty());
    }

    /**
     * Guards the order of loads: a permit request carries the earliest deadline and the total value
     * of the requests that wait for the adapter.
     */
    @Test
    public void permitsCarryDeadlineAndValue() {
        SchedulerFixture f = SchedulerFixture.started();
        f.submit("r1", "summary", "a1");
        PermitRequest one = f.permits.values().iterator().next();
        f.submit("r2", "chat", "a1");
        PermitRequest two = f.permits.values().iterator().next();
        assertEquals(two.getSequence(), one.getSequence());
        assertTrue(two.getDeadlineMs() < one.getDeadlineMs());
        assertTrue(two.getValue() > 2 * one.getValue());
    }

    /**
     * Guards the limit of the queue, and against urgent requests that are refused because less
     * urgent ones fill it.
     */
    @Test
    public void fullQueueRefusesOrDisplaces() {
        SchedulerFixture f = new SchedulerFixture();
        f.engineQueue = 4;
        f.configure();
        f.start(new Lease(SchedulerFixture.RESOURCE, 100, true, Set.of()), EvictionRule.SAFE);
        f.report();
        for (int i = 0; i < 5; i++) {
            f.submit("r" + i, "plan", "a1");
        }
        assertEquals(f.code("r4"), ResultCode.QUEUE_FULL);
        f.submit("urgent", "chat", "a1");
        assertNull(f.code("urgent"));
        assertEquals(f.code("r3"), ResultCode.SHED);
        assertEquals(f.scheduler.inFlight(), 4);
    }

    /**
     * Guards against shedding urgent requests under overload, and against shedding that continues
     * after it.
     */
    @Test
    public void sheddingEndsWithTheOverload() {
        SchedulerFixture f = new SchedulerFixture();
        f.engineQueue = 10;
        f.configure();
        f.start(new Lease(SchedulerFixture.RESOURCE, 100, true, Set.of()), EvictionRule.SAFE);
        f.report();
        for (int i = 0; i < 9; i++) {
            f.submit("r" + i, "summary", "a1");
        }
        f.advance(400);
        f.submit("plan", "plan", "a1");
        assertEquals(f.code("plan"), ResultCode.SHED);
        assertTrue(f.results.get("plan").get(0).retryAfter().toMillis() > 0);
        f.submit("chat", "chat", "a1");
        assertNull(f.code("chat"));
        for (int i = 0; i < 9; i++) {
            f.scheduler.cancel("r" + i, 1, f.out);
        }
        f.advance(4000);
        f.submit("later", "plan", "a1");
        assertNull(f.code("later"));
    }

    /**
     * Guards against overnight requests that use the store or a nearly empty batch for single
     * requests.
     */
    @Test
    public void overnightWorkIsGrouped() {
        SchedulerFixture f = new SchedulerFixture();
        f.policy = new Policy(0.5, 1, OwnershipScope.REGION);
        f.configure();
        f.start(new Lease(SchedulerFixture.RESOURCE, 100, true, Set.of()), EvictionRule.SAFE);
        f.report();
        f.submit("r1", "plan", "a1");
        assertTrue(f.permits.isEmpty());
        f.advance(2100);
        f.grant();
        f.answer(f.lastOrder(OrderKind.LOAD), OrderOutcome.DONE);
        assertTrue(f.starts().isEmpty());
        f.submit("r2", "plan", "a1");
        f.submit("r3", "plan", "a1");
        assertEquals(f.starts().size(), 3);
        f.starts().forEach(f::finish);
        f.submit("r4", "plan", "a1");
        f.advance(60_000);
        assertEquals(f.lastStart().requestId(), "r4");
    }

    /** Guards the metrics by which the policy is evaluated: batch efficiency and load stall. */
    @Test
    public void reportsBatchEfficiencyAndLoadStall() {
        SchedulerFixture f = SchedulerFixture.started();
        f.submit("r1", "chat", "a1");
        f.advance(500);
        f.grant();
        f.answer(f.lastOrder(OrderKind.LOAD), OrderOutcome.DONE);
        f.advance(1000);
        f.time.advance(Duration.ofMillis(10));
        double batch =
                f.all(Effect.RecordMetric.class).stream()
                        .filter(m -> m.metric() == CoreMetric.BATCH_EFFICIENCY_RATIO)
                        .mapToDouble(Effect.RecordMetric::value)
                        .findFirst()
                        .orElse(0);
        double stall =
                f.all(Effect.RecordMetric.class).stream()
                        .filter(m -> m.metric() == CoreMetric.LOAD_STALL_SECONDS)
                        .mapToDouble(Effect.RecordMetric::value)
                        .findFirst()
                        .orElse(0);
        assertEquals(batch, 0.25, 1e-9);
        assertEquals(stall, 0.5, 1e-9);
    }
}
