package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.Test;

/**
 * Tests on virtual time a fleet whose callers all send the same request, while its engines crash
 * for another reason, or because of the request.
 */
public class CrashedRequestsTest {

    private static final AdapterRef BASE = new AdapterRef("m", "");

    private static final int INSTANCES = 6;
    private static final int ENGINES = 4;

    /** Time for which callers wait for an answer. */
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(8);

    /** Time from the third crash after which at most three requests may reach engines. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    private static final Duration RESTART_INTERVAL = Duration.ofMillis(2600);
    private static final Duration DOWN_TIME = Duration.ofMillis(1000);
    private static final Duration CONNECT_TIME = Duration.ofMillis(1);
    private static final Duration PAUSE_OF_CALLERS = Duration.ofMillis(50);

    /** Fleet whose callers send the next request after the answer to the one before. */
    private static final class Fleet {

        private final FleetRig rig = new FleetRig(INSTANCES, 3, ENGINES);
        private final Random random = new Random(7);
        private Duration runTime;
        private final boolean deadly;
        private boolean continues = true;
        private final Set<String> down = new HashSet<>();
        private final List<FakeTransport> open = new ArrayList<>();
        private final List<Long> reachedAt = new ArrayList<>();
        private final List<Long> crashedAt = new ArrayList<>();
        private final Set<String> serving = new HashSet<>();
        private int refused;
        private int served;

        /**
         * @param deadly whether the request crashes each engine that runs it
         */
        private Fleet(int callers, Duration runTime, boolean deadly) {
            this.runTime = runTime;
            this.deadly = deadly;
            rig.run(Duration.ofSeconds(6));
            rig.setFingerprint(new byte[] {1, 2, 3});
            addCallers(callers);
        }

        private void addCallers(int number) {
            for (int i = 0; i < number; i++) {
                FleetRig.Node first = rig.node(i % INSTANCES);
                rig.scheduler().after(Duration.ofMillis(10L * i), () -> send(first));
            }
        }

        private long now() {
            return rig.scheduler().time().nanoTime();
        }

        private void send(FleetRig.Node node) {
            FakeTransport t = new FakeTransport();
            t.setCanContinue(continues);
            t.onSend(() -> onSent(t, node));
            t.onRefused(() -> onRefused(t));
            open.add(t);
            node.stream(BASE, t);
        }

        private void sendNext(FakeTransport ended) {
            open.remove(ended);
            List<FleetRig.Node> up = rig.up();
            FleetRig.Node next = up.get(random.nextInt(up.size()));
            rig.scheduler().after(PAUSE_OF_CALLERS, () -> send(next));
        }

        private void onRefused(FakeTransport t) {
            if (t.refusedWith() == ResultCode.CRASHES_UPSTREAMS) {
                refused++;
            }
            sendNext(t);
        }

        private void onSent(FakeTransport t, FleetRig.Node node) {
            Attempt attempt = t.last();
            String engine = attempt.upstream().id();
            if (down.contains(engine)) {
                rig.scheduler().after(CONNECT_TIME, () -> t.call().onUnreachable("refused"));
                return;
            }
            reachedAt.add(now());
            if (deadly) {
                rig.scheduler().after(runTime, () -> crashIfUp(engine));
            } else {
                rig.scheduler().after(runTime, () -> complete(t, attempt, node));
            }
        }

        private void complete(FakeTransport t, Attempt attempt, FleetRig.Node node) {
            if (!t.call().hasEnded() && t.last() == attempt) {
                t.call().onAnswerBegun();
                t.call().onProgress();
                t.call().onComplete(200);
                served++;
                serving.add(node.ref.id());
                sendNext(t);
            }
        }

        private void crashIfUp(String engine) {
            if (!down.contains(engine)) {
                crash(rig.engineIds().indexOf(engine));
            }
        }

        /** Crashes an engine, which is back after some time. */
        private void crash(int number) {
            String engine = rig.engineIds().get(number);
            crashedAt.add(now());
            down.add(engine);
            rig.engines().crash(engine);
            breakOff(engine);
            rig.scheduler()
                    .after(
                            DOWN_TIME,
                            () -> {
                                down.remove(engine);
                                rig.restartEngine(number);
                            });
        }

        private void breakOff(String engine) {
            for (FakeTransport t : List.copyOf(open)) {
                if (!t.attempts().isEmpty() && t.last().upstream().id().equals(engine)) {
                    t.call().onConnectionLost("closed");
                }
            }
        }

        private void restartInTurns() {
            for (int i = 0; i < ENGINES; i++) {
                crash(i);
                rig.run(RESTART_INTERVAL);
            }
        }

        private Set<String> instancesThatServe(Duration time) {
            serving.clear();
            rig.run(time);
            return serving;
        }

        private long reachedAfter(long from) {
            return reachedAt.stream().filter(at -> at > from).count();
        }
    }

    /** Guards against sound requests that are refused because engines restart in turns. */
    @Test
    public void frequentSoundRequestIsServedWhileEnginesRestartInTurns() {
        Fleet fleet = new Fleet(30, Duration.ofMillis(300), false);
        fleet.continues = false;
        fleet.rig.run(Duration.ofSeconds(2));
        fleet.restartInTurns();
        assertEquals(fleet.refused, 0);
        assertEquals(fleet.instancesThatServe(Duration.ofSeconds(2)).size(), INSTANCES);
    }

    /**
     * No run of the request ends between two crashes, so the crashes look like its fault. Guards
     * against refusing it for longer than its callers wait.
     */
    @Test
    public void rareSoundRequestIsServedSoonAfterEnginesRestarted() {
        Fleet fleet = new Fleet(2 * ENGINES, Duration.ofMinutes(1), false);
        fleet.continues = false;
        fleet.rig.run(Duration.ofMillis(500));
        fleet.restartInTurns();
        fleet.runTime = Duration.ofMillis(300);
        fleet.addCallers(INSTANCES);
        fleet.rig.run(Duration.ofMillis(100));
        assertTrue(fleet.refused > 0, "the case did not occur");
        fleet.rig.run(CALLER_TIMEOUT.minus(RESTART_INTERVAL));
        fleet.refused = 0;
        assertEquals(fleet.instancesThatServe(CALLER_TIMEOUT).size(), INSTANCES);
        assertEquals(fleet.refused, 0);
    }

    /** Guards against sound requests that stay refused after all engines crashed at once. */
    @Test
    public void soundRequestIsServedSoonAfterAllEnginesCrashedAtOnce() {
        Fleet fleet = new Fleet(30, Duration.ofMillis(300), false);
        fleet.continues = false;
        fleet.rig.run(Duration.ofSeconds(2));
        for (int i = 0; i < ENGINES; i++) {
            fleet.crash(i);
        }
        fleet.rig.run(CALLER_TIMEOUT);
        fleet.refused = 0;
        assertEquals(fleet.instancesThatServe(Duration.ofSeconds(2)).size(), INSTANCES);
        assertEquals(fleet.refused, 0);
    }

    /** Guards against one crash that counts as several because it ended several runs. */
    @Test
    public void oneCrashDoesNotRefuseTheRequestsThatItEnded() {
        Fleet fleet = new Fleet(30, Duration.ofMinutes(1), false);
        fleet.continues = false;
        fleet.rig.run(Duration.ofSeconds(2));
        fleet.crash(0);
        fleet.rig.run(CALLER_TIMEOUT);
        assertEquals(fleet.refused, 0);
    }

    /** Guards against planned stops of engines that count as crashes. */
    @Test
    public void stopsOfDrainingEnginesDoNotRefuseTheRequestsThatTheyEnd() {
        Fleet fleet = new Fleet(30, Duration.ofMinutes(1), false);
        fleet.continues = false;
        fleet.rig.run(Duration.ofSeconds(2));
        for (int i = 0; i < ENGINES - 1; i++) {
            String engine = fleet.rig.engineIds().get(i);
            UpstreamRecord draining = ForwardRig.engine(engine, true);
            fleet.rig.up().forEach(n -> n.forwarder.onUpstream(draining));
            fleet.down.add(engine);
            fleet.breakOff(engine);
            fleet.rig.up().forEach(n -> n.forwarder.onUpstreamRemoved(engine));
            fleet.rig.run(Duration.ofMillis(500));
        }
        assertEquals(fleet.refused, 0);
    }

    /** Guards against requests that crash one engine after the other. */
    @Test
    public void requestThatCrashesEnginesStaysRefused() {
        Fleet fleet = new Fleet(30, Duration.ofMillis(20), true);
        fleet.rig.run(Duration.ofSeconds(590));
        assertTrue(fleet.crashedAt.size() >= 3, "crashes: " + fleet.crashedAt.size());
        long late = fleet.reachedAfter(fleet.crashedAt.get(2) + CONTACT_TIME.toNanos());
        assertTrue(late <= 3, late + " reached engines, crashes: " + fleet.crashedAt.size());
        assertEquals(fleet.served, 0);
    }
}
