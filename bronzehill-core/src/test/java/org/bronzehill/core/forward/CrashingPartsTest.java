package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.Test;

/**
 * Tests on virtual time a fleet that gets requests with a part which crashes each engine that
 * begins to answer under it, among sound requests with the same first part.
 */
public class CrashingPartsTest {

    private static final long FIRST_PART = 1;
    private static final long DEADLY_PART = 2;
    private static final int GROUPS = 10;
    private static final int INSTANCES = 9;

    /** One request in this number has the deadly part. */
    private static final int DEADLY_INTERVAL = 10;

    private static final Duration PROMPT_TIME = Duration.ofMillis(60);
    private static final Duration ANSWER_TIME = Duration.ofMillis(500);
    private static final Duration DOWN_TIME = Duration.ofSeconds(3);

    /** Time after the fifth crash from which at most three requests may reach engines. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    /** Fleet whose engines crash when they begin to answer under the deadly part. */
    private static final class Fleet {

        private final FleetRig rig = new FleetRig(INSTANCES, 3, 8);
        private final Random random = new Random(3);
        private final List<FakeTransport> open = new ArrayList<>();
        private final List<Long> deadlySentAt = new ArrayList<>();
        private final List<Long> crashedAt = new ArrayList<>();
        private int soundOffered;
        private int soundSent;

        /** Starts a fleet that has served sound requests for some time. */
        private Fleet() {
            rig.run(Duration.ofSeconds(6));
            play(Duration.ofSeconds(5), false);
            soundOffered = 0;
            soundSent = 0;
        }

        private long now() {
            return rig.scheduler().time().nanoTime();
        }

        private FleetRig.Node anyNode() {
            List<FleetRig.Node> up = rig.up();
            return up.get(random.nextInt(up.size()));
        }

        private FakeTransport send(boolean deadly) {
            long second = deadly ? DEADLY_PART : 100 + random.nextInt(GROUPS);
            FakeTransport t = anyNode().stream(List.of(FIRST_PART, second));
            open.add(t);
            if (!t.attempts().isEmpty()) {
                onSent(t);
            }
            return t;
        }

        private void onSent(FakeTransport t) {
            Attempt attempt = t.last();
            boolean deadly = t.call().request().sharedParts().contains(DEADLY_PART);
            if (deadly) {
                deadlySentAt.add(now());
            }
            rig.scheduler().after(PROMPT_TIME, () -> beginAnswer(t, attempt, deadly));
        }

        private void beginAnswer(FakeTransport t, Attempt attempt, boolean deadly) {
            if (t.call().hasEnded() || t.last() != attempt) {
                return;
            }
            if (deadly) {
                crash(attempt.upstream().id());
            } else {
                t.call().onAnswerBegun();
                t.call().onProgress();
                rig.scheduler().after(ANSWER_TIME, () -> endAnswer(t, attempt));
            }
        }

        private static void endAnswer(FakeTransport t, Attempt attempt) {
            if (!t.call().hasEnded() && t.last() == attempt) {
                t.call().onComplete(200);
            }
        }

        private void crash(String engine) {
            crashedAt.add(now());
            rig.engines().crash(engine);
            rig.scheduler().after(DOWN_TIME, () -> rig.engines().restart(engine));
            open.removeIf(t -> t.call().hasEnded());
            for (FakeTransport t : List.copyOf(open)) {
                if (!t.attempts().isEmpty() && t.last().upstream().id().equals(engine)) {
                    int before = t.attempts().size();
                    t.call().onConnectionLost("closed");
                    if (t.attempts().size() > before) {
                        onSent(t);
                    }
                }
            }
        }

        /** Offers 20 requests a second. */
        private void play(Duration time, boolean withDeadlyPart) {
            for (int i = 0; i < time.toMillis() / 50; i++) {
                boolean deadly = withDeadlyPart && i % DEADLY_INTERVAL == 0;
                FakeTransport t = send(deadly);
                if (!deadly) {
                    soundOffered++;
                    soundSent += t.attempts().isEmpty() ? 0 : 1;
                }
                rig.scheduler().advance(Duration.ofMillis(50));
            }
        }

        private long deadlySentLongAfterFifthCrash() {
            if (crashedAt.size() < 5) {
                return 0;
            }
            long from = crashedAt.get(4) + CONTACT_TIME.toNanos();
            return deadlySentAt.stream().filter(at -> at > from).count();
        }
    }

    private static FakeTransport openDeadly(FleetRig.Node node) {
        return node.stream(List.of(FIRST_PART, DEADLY_PART));
    }

    /**
     * Guards against requests that crash one engine after the other because no two of them are
     * alike.
     */
    @Test
    public void partThatCrashedEnginesIsBlockedAtAllInstances() {
        Fleet fleet = new Fleet();
        fleet.play(Duration.ofSeconds(30), true);
        assertTrue(fleet.crashedAt.size() >= 2, "crashes: " + fleet.crashedAt.size());
        assertTrue(
                fleet.deadlySentLongAfterFifthCrash() <= 3,
                "crashes: " + fleet.crashedAt.size() + ", sent: " + fleet.deadlySentAt.size());
        long refused =
                fleet.rig.up().stream()
                        .filter(n -> openDeadly(n).refusedWith() == ResultCode.CRASHES_UPSTREAMS)
                        .count();
        // One instance may let a trial through.
        assertTrue(refused >= INSTANCES - 1, "refused at " + refused);
    }

    /** Guards against sound requests that are refused for the parts that they share. */
    @Test
    public void soundRequestsWithTheSameFirstPartAreServed() {
        Fleet fleet = new Fleet();
        fleet.play(Duration.ofSeconds(30), true);
        assertTrue(
                fleet.soundSent > fleet.soundOffered * 9 / 10,
                fleet.soundSent + " of " + fleet.soundOffered);
    }

    /** Guards against an instance that starts and sends what the others know to crash engines. */
    @Test
    public void startedInstanceLearnsOfBlockedParts() {
        Fleet fleet = new Fleet();
        fleet.play(Duration.ofSeconds(3), true);
        FleetRig.Node started = fleet.rig.restart(4);
        fleet.play(CONTACT_TIME, false);
        assertEquals(openDeadly(started).refusedWith(), ResultCode.CRASHES_UPSTREAMS);
    }

    /** Guards against a part that stays blocked although it is sound, or no longer crashes. */
    @Test
    public void soundPartIsServedAgainAfterATrial() {
        Fleet fleet = new Fleet();
        fleet.play(Duration.ofSeconds(3), true);
        boolean served = false;
        for (int i = 0; i < 400 && !served; i++) {
            FakeTransport t = openDeadly(fleet.anyNode());
            if (!t.attempts().isEmpty()) {
                t.call().onAnswerBegun();
                t.call().onProgress();
                t.call().onComplete(200);
                served = true;
            }
            fleet.rig.scheduler().advance(Duration.ofMillis(50));
        }
        assertTrue(served, "no trial within 20 s");
        for (FleetRig.Node node : fleet.rig.up()) {
            assertEquals(openDeadly(node).attempts().size(), 1);
        }
    }

    /**
     * Several engines crash at once while an answer under a part has begun at one instance only.
     * Guards against the refusal of sound requests until that instance has said so.
     */
    @Test
    public void soundPartIsNotBlockedWhenManyEnginesCrashAtOnce() {
        Fleet fleet = new Fleet();
        List<Long> parts = List.of(FIRST_PART, 50L);
        FakeTransport proven = fleet.rig.node(0).stream(parts);
        proven.call().onAnswerBegun();
        proven.call().onComplete(200);
        List<FakeTransport> waiting = new ArrayList<>();
        for (int i = 1; i < INSTANCES; i++) {
            waiting.add(fleet.rig.node(i).stream(parts));
        }
        waiting.forEach(t -> fleet.rig.engines().crash(t.last().upstream().id()));
        waiting.forEach(t -> t.call().onConnectionLost("closed"));
        for (int i = 0; i < 30; i++) {
            fleet.rig.scheduler().advance(Duration.ofNanos(500_000));
            for (FleetRig.Node node : fleet.rig.up()) {
                ResultCode refusal = node.stream(parts).refusedWith();
                assertNotEquals(refusal, ResultCode.CRASHES_UPSTREAMS, node.ref.id());
            }
        }
    }
}
