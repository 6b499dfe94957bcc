package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.bronzehill.core.forward.UpstreamPaths.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests instances that are cut off from all upstreams by a middlebox that accepts connections, and
 * faults of upstreams that must not be taken for it.
 */
public class MiddleboxFleetTest {

    /** Interval between the requests of callers. */
    private static final Duration INTERVAL = Duration.ofMillis(10);

    /** Longer than any sound pause between requests, so that each is answered before the next. */
    private static final Duration LONG_INTERVAL = Duration.ofMillis(1100);

    private static final Duration LIMIT = Duration.ofSeconds(2);

    /** Time for which sound upstreams may be silent. */
    private static final Duration SOUND_SILENCE = Duration.ofMillis(1400);

    private static final Duration LONG = Duration.ofSeconds(20);

    @DataProvider
    public static Object[][] middleboxes() {
        return new Object[][] {{Path.RESET}, {Path.SILENT}};
    }

    @DataProvider
    public static Object[][] faults() {
        return new Object[][] {
            {Path.REFUSED, INTERVAL}, {Path.REFUSED, LONG_INTERVAL},
            {Path.RESET, INTERVAL}, {Path.RESET, LONG_INTERVAL},
            {Path.SILENT, INTERVAL}, {Path.SILENT, LONG_INTERVAL},
        };
    }

    private static RelayFleet.Outcomes play(
            RelayFleet fleet, List<Integer> numbers, Duration interval, Duration time) {
        RelayFleet.Outcomes outcomes = new RelayFleet.Outcomes();
        for (int i = 0; i < time.dividedBy(interval); i++) {
            FleetRig.Node node = fleet.rig().node(numbers.get(i % numbers.size()));
            RequestKind kind = i % 2 == 0 ? RequestKind.IDEMPOTENT : RequestKind.ONCE_ONLY;
            fleet.request(node, kind, LIMIT, outcomes);
            fleet.rig().scheduler().advance(interval);
        }
        return outcomes;
    }

    private static RelayFleet.Outcomes play(RelayFleet fleet, Duration time) {
        return play(fleet, List.of(0), INTERVAL, time);
    }

    private static boolean isIsolated(RelayFleet fleet, int number) {
        return fleet.rig().node(number).forwarder.relays().isIsolated();
    }

    private static UpstreamPaths paths(RelayFleet fleet, int number) {
        return fleet.rig().node(number).paths;
    }

    /** Plays requests and checks all the time that no instance is isolated. */
    private static void playConnected(
            RelayFleet fleet, int size, Duration interval, Duration time) {
        List<Integer> all = IntStream.range(0, size).boxed().toList();
        for (long left = time.toMillis(); left > 0; left -= interval.toMillis()) {
            play(fleet, all, interval, interval);
            all.forEach(n -> assertFalse(isIsolated(fleet, n), n + " is isolated"));
        }
    }

    /** Guards against callers that get nothing since a connection that opens proves the path. */
    @Test(dataProvider = "middleboxes")
    public void requestsAreServedThroughOtherInstances(Path middlebox) {
        RelayFleet fleet = new RelayFleet(3, 1);
        play(fleet, Duration.ofMillis(200));
        paths(fleet, 0).set(middlebox);
        play(fleet, Duration.ofSeconds(3));
        assertTrue(isIsolated(fleet, 0));
        RelayFleet.Outcomes o = play(fleet, Duration.ofSeconds(2));
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertEquals(o.served, o.opened, o.toString());
    }

    /** Guards against an isolation that ends at a probe which opens but gets no answer. */
    @Test(dataProvider = "middleboxes")
    public void isolationEndsOnlyWithAnAnswer(Path middlebox) {
        RelayFleet fleet = new RelayFleet(3, 1);
        paths(fleet, 0).set(Path.REFUSED);
        play(fleet, Duration.ofSeconds(1));
        assertTrue(isIsolated(fleet, 0));
        paths(fleet, 0).set(middlebox);
        for (int i = 0; i < 50; i++) {
            play(fleet, Duration.ofMillis(100));
            assertTrue(isIsolated(fleet, 0), "after " + i);
        }
        paths(fleet, 0).set(Path.OPEN);
        fleet.rig()
                .scheduler()
                .advance(Reachability.PROBE_INTERVAL.plus(FleetRig.TICK).plusMillis(10));
        assertFalse(isIsolated(fleet, 0));
    }

    /** Guards against a middlebox that is noticed with many requests only. */
    @Test(dataProvider = "middleboxes")
    public void fewRequestsSufficeToNotice(Path middlebox) {
        RelayFleet fleet = new RelayFleet(3, 1);
        paths(fleet, 0).set(middlebox);
        play(fleet, List.of(0), LONG_INTERVAL, LONG_INTERVAL.multipliedBy(3));
        assertTrue(isIsolated(fleet, 0));
    }

    /** Guards against faults of one or two upstreams that are taken for the path to all. */
    @Test(dataProvider = "faults")
    public void faultsOfTwoUpstreamsAmongSoundOnesDoNotIsolate(Path fault, Duration interval) {
        for (String second : List.of("p2", "p5")) {
            RelayFleet fleet = new RelayFleet(3, 1);
            for (int n = 0; n < 3; n++) {
                paths(fleet, n).set("p2", fault);
                paths(fleet, n).set(second, fault);
            }
            playConnected(fleet, 3, interval, LONG);
        }
    }

    /** Guards against an isolation that is assumed because upstreams restart at the same time. */
    @Test
    public void shortResetsOfAllUpstreamsDoNotIsolate() {
        RelayFleet fleet = new RelayFleet(3, 1);
        for (int round = 0; round < 10; round++) {
            for (int n = 0; n < 3; n++) {
                paths(fleet, n).set(Path.RESET);
            }
            playConnected(fleet, 3, INTERVAL, Duration.ofMillis(400));
            for (int n = 0; n < 3; n++) {
                paths(fleet, n).set(Path.OPEN);
            }
            playConnected(fleet, 3, INTERVAL, Duration.ofMillis(700));
        }
    }

    /** Guards against requests that are handed about, or refused, after all upstreams are back. */
    @Test(dataProvider = "middleboxes")
    public void requestsAreServedSoonAfterAllUpstreamsHaveFailed(Path fault) {
        RelayFleet fleet = new RelayFleet(3, 1);
        List<Integer> all = List.of(0, 1, 2);
        all.forEach(n -> paths(fleet, n).set(fault));
        RelayFleet.Outcomes down = play(fleet, all, INTERVAL, Duration.ofSeconds(4));
        assertTrue(fleet.relayed <= down.opened, "relayed " + fleet.relayed);
        all.forEach(n -> paths(fleet, n).set(Path.OPEN));
        play(fleet, all, INTERVAL, Reachability.PROBE_INTERVAL.plus(FleetRig.TICK).plusMillis(20));
        all.forEach(n -> assertFalse(isIsolated(fleet, n)));
        RelayFleet.Outcomes back = play(fleet, all, INTERVAL, Duration.ofSeconds(2));
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertEquals(back.served, back.opened, back.toString());
    }

    /** Guards against sound upstreams that are silent for a moment and taken for unreachable. */
    @Test
    public void soundSilenceOfAllUpstreamsDoesNotIsolate() {
        for (Duration interval : List.of(INTERVAL, Duration.ofMillis(350), LONG_INTERVAL)) {
            RelayFleet fleet = new RelayFleet(3, 1);
            playConnected(fleet, 3, interval, LONG_INTERVAL);
            for (int n = 0; n < 3; n++) {
                paths(fleet, n).set(Path.PAUSED);
            }
            playConnected(fleet, 3, interval, SOUND_SILENCE);
            for (int n = 0; n < 3; n++) {
                paths(fleet, n).set(Path.OPEN);
            }
            playConnected(fleet, 3, interval, LONG);
        }
    }

    /**
     * Guards against an instance that is taken for isolated because the upstreams, at their limit
     * of connections, reset new ones, while they answer on others. One has crashed, so that two are
     * probed at once.
     */
    @Test
    public void answersOnOpenConnectionsRefuteResetsOfNewOnes() {
        RelayFleet fleet = new RelayFleet(3, 1);
        FleetRig.Node node = fleet.rig().node(0);
        FakeTransport open = node.call();
        open.call().onConnected(1);
        node.paths.set(Path.RESET);
        node.paths.set("p2", Path.REFUSED);
        for (int i = 0; i < 50; i++) {
            play(fleet, Duration.ofMillis(200));
            assertFalse(isIsolated(fleet, 0), "after " + i);
            open.call().onProgress();
        }
    }

    /** Guards against upstreams whose connections open for nobody, while some live on. */
    @Test
    public void answersOnOpenConnectionsDoNotEndTheIsolationIfNoneOpens() {
        RelayFleet fleet = new RelayFleet(3, 1);
        FleetRig.Node node = fleet.rig().node(0);
        FakeTransport open = node.call();
        open.call().onConnected(1);
        node.paths.set(Path.REFUSED);
        play(fleet, Duration.ofSeconds(1));
        for (int i = 0; i < 20; i++) {
            play(fleet, Duration.ofMillis(200));
            open.call().onProgress();
            assertTrue(isIsolated(fleet, 0), "after " + i);
        }
    }

    /** Guards against resets of the only upstreams of a small site, where others fare no better. */
    @Test(dataProvider = "middleboxes")
    public void resetsOfAllOfFewUpstreamsDoNotIsolate(Path fault) {
        for (int listed : List.of(1, 2)) {
            RelayFleet fleet = new RelayFleet(3, 1);
            for (int i = listed + 1; i <= 6; i++) {
                fleet.rig().node(0).forwarder.onUpstreamRemoved("p" + i);
            }
            assertEquals(fleet.rig().node(0).forwarder.upstreamCount(), listed);
            paths(fleet, 0).set(fault);
            for (int i = 0; i < 50; i++) {
                play(fleet, Duration.ofMillis(200));
                assertFalse(isIsolated(fleet, 0), "after " + i);
            }
        }
    }

    /** Guards against probes, which have a price, while nothing makes the path suspect. */
    @Test
    public void soundUpstreamsAreNotProbed() {
        RelayFleet fleet = new RelayFleet(3, 1);
        play(fleet, List.of(0, 1, 2), INTERVAL, Duration.ofSeconds(5));
        play(fleet, List.of(0, 1, 2), LONG_INTERVAL, LONG);
        for (int n = 0; n < 3; n++) {
            assertEquals(paths(fleet, n).probes(), 0);
        }
    }

    /** Guards against probes that go on while a single request takes its time. */
    @Test
    public void slowAnswerCostsOneProbeAtMost() {
        RelayFleet fleet = new RelayFleet(3, 1);
        FleetRig.Node node = fleet.rig().node(0);
        FakeTransport slow = node.call();
        slow.call().onConnected(0);
        fleet.rig().scheduler().advance(LONG);
        slow.call().onProgress();
        assertTrue(node.paths.probes() <= 1, node.paths.probes() + " probes");
    }
}
