package org.bronzehill.core.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationBase;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.Limits;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.Test;

/** Second attempts at other engines: hedges of slow requests and redirects from a full engine. */
public class SecondAttemptTest {

    /** Creates a rig with the adapter resident on both engines, by a retry at the second one. */
    private static CoreRig residentOnBothEngines() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.chat("warm"));
        rig.run(Duration.ofSeconds(1));
        rig.fail(rig.lastAttempt(), FailureReason.BROKEN, 0);
        rig.run(Duration.ofSeconds(1));
        rig.finish(rig.lastAttempt(), 1);
        rig.run(Duration.ofSeconds(1));
        rig.attempts.clear();
        rig.answers.clear();
        return rig;
    }

    /** Guards against a slow holder that keeps an interactive caller waiting. */
    @Test
    public void hedgesAnInteractiveRequestOnce() {
        CoreRig rig = residentOnBothEngines();
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(8));
        assertEquals(rig.attempts.size(), 2);
        Effect.StartAttempt slow = rig.attempts.get(0);
        rig.finish(rig.attempts.get(1), 3);
        assertEquals(rig.answers.get(0).code(), ResultCode.OK);
        assertEquals(rig.answers.get(0).attempt(), rig.attempts.get(1).attempt());
        assertTrue(rig.otherEffects.contains(new Effect.CancelAttempt(slow.attemptId())));
    }

    /** Guards against hedging requests that produce output within the hedge delay of 2 s. */
    @Test
    public void hedgesOnlySlowRequests() {
        CoreRig rig = residentOnBothEngines();
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofMillis(1900));
        assertEquals(rig.attempts.size(), 1);
        rig.feed("entry-1", new Input.AnswerProgress("q-1", rig.lastAttempt().attempt(), 1));
        rig.run(Duration.ofSeconds(3));
        assertEquals(rig.attempts.size(), 1);
    }

    /** Guards against a hedge that loads the adapter, which would add load on the weight store. */
    @Test
    public void loadsNothingForAHedge() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(8));
        assertEquals(rig.attempts.size(), 1);
    }

    /**
     * Guards against a redirect from a full engine that is loading the adapter, either back to the
     * same engine or to a cold one, which would load the adapter a second time.
     */
    @Test
    public void doesNotRedirectWhileTheAdapterLoads() {
        CoreRig rig = CoreRig.ready(2, 2);
        Configuration old = rig.configuration;
        Limits limits = new Limits(4, 2, 16, 1 << 20, 1, 4096, 2000);
        ConfigurationBase base =
                new ConfigurationBase(
                        old.base().baseModels(),
                        old.base().kinds(),
                        old.base().members(),
                        limits,
                        old.policy());
        rig.configuration = Configuration.of(2, base, old.adapters().toList());
        rig.feed("entry-1", new Input.ConfigurationRead(ImageCodec.encode(rig.configuration)));
        rig.answerLoadsAtOnce = false;
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        List<String> redirects = new ArrayList<>();
        rig.dropMessage =
                e -> {
                    if (e.hasDispatchEnd() && !e.getDispatchEnd().getRedirectTo().isEmpty()) {
                        redirects.add(e.getDispatchEnd().getRedirectTo());
                    }
                    return false;
                };
        // At least one of the instances is not the holder and receives its result as a message.
        rig.submit("entry-1", CoreRig.chat("q-2"));
        rig.submit("entry-2", CoreRig.chat("q-3"));
        rig.run(Duration.ofSeconds(2));
        assertTrue(rig.envelopeCounts.get("DISPATCH_END") > 0);
        assertEquals(redirects, List.of());
        assertEquals(rig.pendingLoads(), 1);
    }
}
