package org.bronzehill.core.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.Test;

/** Start, process pause, planned shutdown and application service calls of an instance. */
public class NodeLifecycleTest {

    /** Guards against accepting requests before the configuration number is confirmed. */
    @Test
    public void refusesUntilTheChecksHavePassed() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.platformAvailable = false;
        rig.time.advance(Duration.ofSeconds(3));
        rig.feed("entry-1", new Input.Tick());
        rig.submit("entry-1", CoreRig.chat("q-1"));
        assertEquals(rig.answers.get(0).code(), ResultCode.NOT_READY);
        assertTrue(rig.attempts.isEmpty());
        rig.platformAvailable = true;
        // A failed read may be followed by a watch, which the service answers after up to 30 s.
        rig.run(Duration.ofSeconds(40));
        rig.submit("entry-1", CoreRig.chat("q-2"));
        rig.run(Duration.ofSeconds(1));
        rig.finish(rig.lastAttempt(), 1);
        assertEquals(rig.answers.get(1).code(), ResultCode.OK);
    }

    /** Guards against handling the first input after a pause, before any tick, without a check. */
    @Test
    public void detectsAPauseAtTheFirstInput() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.platformAvailable = false;
        rig.time.advance(Duration.ofSeconds(3));
        rig.submit("entry-1", CoreRig.chat("q-1"));
        assertEquals(rig.answers.get(0).code(), ResultCode.NOT_READY);
    }

    /** Guards against a planned shutdown that cuts off a request or accepts a new one. */
    @Test
    public void drainWaitsForOpenRequests() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofMillis(500));
        rig.feed("entry-1", new Input.DrainRequested());
        rig.submit("entry-1", CoreRig.chat("q-2"));
        assertEquals(rig.answers.get(0).requestId(), "q-2");
        assertEquals(rig.answers.get(0).code(), ResultCode.DRAINING);
        rig.run(Duration.ofMillis(500));
        assertFalse(rig.otherEffects.contains(new Effect.Drained()));
        rig.finish(rig.attempts.get(0), 3);
        rig.run(Duration.ofMillis(500));
        assertEquals(rig.answers.get(1).code(), ResultCode.OK);
        assertTrue(rig.otherEffects.contains(new Effect.Drained()));
    }

    /** Guards against a planned shutdown that cuts off the stream of a peer's caller. */
    @Test
    public void drainWaitsForPeerRequests() {
        CoreRig rig = CoreRig.ready(2, 1);
        String holder = rig.holderSeenBy("entry-1", "engine-1");
        String origin = holder.equals("entry-1") ? "entry-2" : "entry-1";
        rig.submit(origin, CoreRig.chat("q-1"));
        rig.run(Duration.ofMillis(500));
        rig.feed(holder, new Input.DrainRequested());
        rig.feed(origin, new Input.AnswerProgress("q-1", 1, 1));
        rig.run(Duration.ofSeconds(2));
        assertFalse(rig.otherEffects.contains(new Effect.Drained()));
        rig.finish(rig.attempts.get(0), 3);
        assertEquals(rig.answers.get(0).code(), ResultCode.OK);
        rig.run(Duration.ofMillis(500));
        assertTrue(rig.otherEffects.contains(new Effect.Drained()));
    }

    /** Guards against a service call that never ends, and against a lost answer. */
    @Test
    public void answersAServiceCall() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.feed("entry-1", new Input.ServiceRequested(CoreRig.service("q-1", "lookup", "")));
        long call = rig.calls.get(0).callId();
        rig.feed(
                "entry-1",
                new Input.ServiceAnswered(
                        call, new Input.ServiceAnswer(200, "text/plain", new byte[3], Map.of())));
        assertEquals(rig.answers.get(0).code(), ResultCode.OK);
        assertEquals(rig.answers.get(0).body().body().length, 3);
        rig.feed("entry-1", new Input.ServiceRequested(CoreRig.service("q-2", "lookup", "")));
        rig.run(Duration.ofSeconds(6));
        assertEquals(rig.answers.get(1).code(), ResultCode.DEADLINE_PASSED);
    }

    /** Guards against hiding a runner's rejection from the caller or reporting it as a success. */
    @Test
    public void returnsRunnerRejectionToCaller() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.feed("entry-1", new Input.ServiceRequested(CoreRig.service("q-1", "lookup", "")));
        Input.ServiceAnswer refusal =
                new Input.ServiceAnswer(404, "text/plain", new byte[2], Map.of());
        long call = rig.calls.get(0).callId();
        rig.feed("entry-1", new Input.ServiceAnswered(call, refusal));
        assertEquals(rig.answers.get(0).code(), ResultCode.UPSTREAM_REJECTED);
        assertEquals(rig.answers.get(0).body(), refusal);
    }

    /** Guards against an act without an idempotency key, whose resends would run it again. */
    @Test
    public void refusesAnActWithoutKey() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.feed("entry-1", new Input.ServiceRequested(CoreRig.service("q-1", "act", "")));
        assertEquals(rig.answers.get(0).code(), ResultCode.MISSING_KEY);
        assertTrue(rig.calls.isEmpty());
    }
}
