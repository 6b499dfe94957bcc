package org.bronzehill.core.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.Test;

/** Removal of a leased engine from the instance list. */
public class LeasedEnginesTest {

    /** Guards against cutting off a running request when its engine is removed from the list. */
    @Test
    public void finishesRunningRequestOnUnlistedEngine() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt running = rig.lastAttempt();
        rig.feed("entry-1", new Input.AnswerProgress("q-1", running.attempt(), 1));
        rig.unlistedEngines.add(running.engine());
        rig.run(Duration.ofSeconds(4));
        assertTrue(rig.answers.isEmpty());
        assertFalse(rig.otherEffects.contains(new Effect.CancelAttempt(running.attemptId())));
        rig.finish(running, 3);
        assertEquals(rig.answers.get(0).code(), ResultCode.OK);
    }

    /** Guards against new work for, or a kept lease on, an engine removed from the list. */
    @Test
    public void startsNoNewWorkOnUnlistedEngine() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt first = rig.lastAttempt();
        rig.finish(first, 1);
        rig.unlistedEngines.add(first.engine());
        rig.run(Duration.ofSeconds(2));
        int before = rig.cacheEventReads(first.engine());
        rig.submit("entry-1", CoreRig.chat("q-2"));
        rig.run(Duration.ofSeconds(6));
        assertFalse(rig.lastAttempt().engine().equals(first.engine()));
        assertEquals(rig.cacheEventReads(first.engine()), before);
    }

    /** Guards against a request that keeps waiting for an engine that was removed from the list. */
    @Test
    public void reroutesRequestsThatWaitAtUnlistedEngine() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.answerLoadsAtOnce = false;
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        String engine = rig.loadingEngine();
        rig.unlistedEngines.add(engine);
        rig.run(Duration.ofSeconds(2));
        rig.answerLoads();
        rig.run(Duration.ofSeconds(1));
        assertFalse(rig.lastAttempt().engine().equals(engine));
    }
}
