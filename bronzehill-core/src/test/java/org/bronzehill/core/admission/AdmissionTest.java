package org.bronzehill.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.time.ManualTimeSource;
import org.testng.annotations.Test;

/** Tests fair queuing, the retry budget and load shedding. */
public class AdmissionTest {

    private static String serve(FairQueue<String> queue, double share) {
        FairQueue.Entry<String> e = queue.first(i -> true);
        queue.remove(e);
        queue.charge(e.team(), share, 1);
        return e.item();
    }

    /** Guards against an order in which less urgent or later items go first. */
    @Test
    public void servesByUrgencyThenDeadline() {
        FairQueue<String> q = FairQueue.create();
        q.add("overnight", Urgency.OVERNIGHT, "m", 1, 1);
        q.add("late", Urgency.PROMPT, "m", 1, 9);
        q.add("soon", Urgency.PROMPT, "m", 1, 5);
        q.add("blocked", Urgency.INTERACTIVE, "m", 1, 2);
        assertEquals(q.first(i -> !i.equals("blocked")).item(), "soon");
        assertEquals(q.sizeUpTo(Urgency.PROMPT), 3);
    }

    /** Guards against a team that gets more than its weighted share. */
    @Test
    public void teamsShareByWeight() {
        FairQueue<String> q = FairQueue.create();
        for (int i = 0; i < 40; i++) {
            q.add("small", Urgency.PROMPT, "small", 1, i);
            q.add("large", Urgency.PROMPT, "large", 3, i);
        }
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            FairQueue.Entry<String> e = q.first(x -> true);
            q.remove(e);
            q.charge(e.team(), e.team().equals("large") ? 3 : 1, 1);
            served.merge(e.item(), 1, Integer::sum);
        }
        assertTrue(Math.abs(served.get("large") - 30) <= 1, served.toString());
    }

    /**
     * Guards against an idle share that is lost when its team becomes active again, and against
     * serving that team extra for its idle time.
     */
    @Test
    public void idleShareIsLentAndReclaimed() {
        FairQueue<String> q = FairQueue.create();
        for (int i = 0; i < 60; i++) {
            q.add("a", Urgency.PROMPT, "a", 1, i);
        }
        for (int i = 0; i < 30; i++) {
            assertEquals(serve(q, 1), "a");
        }
        for (int i = 0; i < 20; i++) {
            q.add("b", Urgency.PROMPT, "b", 1, i);
        }
        int b = 0;
        for (int i = 0; i < 20; i++) {
            b += serve(q, 1).equals("b") ? 1 : 0;
        }
        assertTrue(b >= 9 && b <= 11, "b was served " + b + " times");
    }

    /** Guards against a team that excludes the others by filling the queue. */
    @Test
    public void fullQueueDisplacesItemsBeyondTheShare() {
        FairQueue<String> q = FairQueue.create();
        for (int i = 0; i < 10; i++) {
            q.add("a" + i, Urgency.PROMPT, "a", 1, i);
        }
        assertEquals(q.displaceableFor("b", 1, Urgency.PROMPT).item(), "a9");
        assertNull(q.displaceableFor("a", 1, Urgency.PROMPT));
        assertNull(q.displaceableFor("b", 1, Urgency.SHIFT));
        q.add("o", Urgency.OVERNIGHT, "a", 1, 99);
        assertEquals(q.displaceableFor("a", 1, Urgency.PROMPT).item(), "o");
    }

    /** Guards against retries that multiply an overload. */
    @Test
    public void retriesStayWithinATenthOfTheRequests() {
        RetryBudget budget = RetryBudget.create();
        int initial = 0;
        while (budget.tryTake()) {
            initial++;
        }
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.onNewRequest();
            retries += budget.tryTake() ? 1 : 0;
        }
        assertEquals(initial, 10);
        assertEquals(retries, 100);
    }

    /**
     * Guards against shedding that starts without a delay, sheds the most urgent class, or never
     * ends.
     */
    @Test
    public void shedsFromTheLeastUrgentClassAndRecovers() {
        ManualTimeSource time = ManualTimeSource.startingAt(Instant.EPOCH);
        OverloadPolicy policy = OverloadPolicy.create(time);
        policy.update(0.95);
        assertFalse(policy.sheds(Urgency.OVERNIGHT));
        time.advance(Duration.ofMillis(300));
        policy.update(0.95);
        assertTrue(policy.sheds(Urgency.OVERNIGHT));
        assertFalse(policy.sheds(Urgency.SHIFT));
        for (int i = 0; i < 10; i++) {
            time.advance(Duration.ofMillis(300));
            policy.update(0.95);
        }
        assertTrue(policy.sheds(Urgency.PROMPT));
        assertFalse(policy.sheds(Urgency.INTERACTIVE));
        time.advance(Duration.ofSeconds(9));
        policy.update(0.6);
        assertEquals(policy.level(), 3);
        for (int i = 0; i < 5; i++) {
            policy.update(0.1);
            time.advance(Duration.ofSeconds(1));
        }
        assertEquals(policy.level(), 0);
    }
}
