package org.bronzehill.replay.random;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.Input;
import org.bronzehill.replay.check.Checkers;
import org.bronzehill.replay.check.Violation;
import org.bronzehill.replay.generate.ShippedTraces;
import org.bronzehill.replay.harness.DecisionCore;
import org.bronzehill.replay.harness.Replay;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks P1 to P8 on random fault schedules with fixed seeds. Also guards against schedules and
 * checkers that pass broken decision code.
 */
public class RandomRunTest {

    private static final int SEEDS = 120;

    /**
     * Seeds of schedules, stored as traces, that once violated a property or a faulty check of it.
     */
    private static final int[] FORMER_FAILURES = {244, 483, 7303, 7356, 7800};

    private interface EffectChange {
        Effect of(Effect effect);
    }

    private static DecisionCore.Factory broken(EffectChange change) {
        return (settings, time, random) -> {
            DecisionCore core = DecisionCore.entryCore().create(settings, time, random);
            return new DecisionCore() {
                @Override
                public void handle(Input input, Effects out) {
                    core.handle(input, e -> out.add(change.of(e)));
                }

                @Override
                public long configurationNumber() {
                    return core.configurationNumber();
                }
            };
        };
    }

    @Test
    public void propertiesHoldOnFixedSeeds() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        RandomRun run = RandomRun.create(DecisionCore.entryCore(), printer(text));
        int failed = run.run(1, SEEDS, false);
        assertEquals(failed, 0, text.toString(StandardCharsets.UTF_8));
    }

    @Test
    public void propertiesHoldOnFormerFailures() throws IOException {
        for (int seed : FORMER_FAILURES) {
            String path = ShippedTraces.RESOURCE_DIRECTORY + "former-" + seed + ".trace.gz";
            Trace trace = TraceFormat.read(RandomRunTest.class.getResourceAsStream(path));
            assertEquals(Checkers.check(Replay.run(trace)), List.of(), path);
        }
    }

    private static PrintStream printer(ByteArrayOutputStream text) {
        return new PrintStream(text, true, StandardCharsets.UTF_8);
    }

    @DataProvider
    Object[][] brokenDecisionCode() {
        EffectChange otherVersion =
                e ->
                        e instanceof Effect.OrderEngine o
                                ? new Effect.OrderEngine(
                                        o.orderId(),
                                        o.engine(),
                                        o.kind(),
                                        o.handle().replace("@1#", "@2#"),
                                        o.adapter(),
                                        o.weights(),
                                        o.fencing(),
                                        o.role())
                                : e instanceof Effect.StartAttempt a
                                        ? new Effect.StartAttempt(
                                                a.attemptId(),
                                                a.engine(),
                                                a.handle().replace("@1#", "@2#"),
                                                a.requestId(),
                                                a.attempt(),
                                                a.origin(),
                                                a.body(),
                                                a.stream(),
                                                a.limits())
                                        : e;
        EffectChange lateRefusal =
                e ->
                        e instanceof Effect.Answer a && a.code().isSuccess()
                                ? new Effect.Answer(
                                        a.requestId(),
                                        a.attempt(),
                                        org.bronzehill.core.result.ResultCode.QUEUE_FULL,
                                        a.provenance(),
                                        a.chunks(),
                                        a.body(),
                                        a.retryAfter(),
                                        a.loadStall(),
                                        a.detail())
                                : e;
        return new Object[][] {
            {"P1", otherVersion, 3L}, {"P4", lateRefusal, 3L},
        };
    }

    @Test(dataProvider = "brokenDecisionCode")
    public void brokenDecisionCodeViolatesProperty(
            String property, EffectChange change, long seed) {
        List<Violation> found = Checkers.check(Replay.run(RandomSchedule.of(seed), broken(change)));
        assertTrue(found.stream().anyMatch(v -> v.property().equals(property)), found.toString());
    }

    @Test
    public void reportNamesSeedAndShortenedTrace() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        EffectChange dropAnswers =
                e -> e instanceof Effect.Answer a ? new Effect.AbandonAttempt(a.requestId(), 0) : e;
        int failed = RandomRun.create(broken(dropAnswers), printer(text)).run(3, 1, true);
        assertEquals(failed, 1);
        String report = text.toString(StandardCharsets.UTF_8);
        assertTrue(report.contains("bronzehill replay --random --first 3 --seeds 1"), report);
        int lines = report.substring(report.indexOf("shortened trace")).split("\n").length;
        assertTrue(lines < 60, report);
    }

    @Test
    public void replayIsDeterministic() {
        Trace trace = RandomSchedule.of(11);
        assertFalse(trace.records().isEmpty());
        assertEquals(
                Replay.run(trace).log().events().toString(),
                Replay.run(trace).log().events().toString());
    }
}
