package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.Envelope;
import org.testng.annotations.Test;

/** Tests what instances tell each other about isolation and planned stops, with their load. */
public class RelayStateFleetTest {

    /** Interval between the requests of all callers together. */
    private static final Duration INTERVAL = Duration.ofMillis(10);

    private static final Duration SHORT = Duration.ofSeconds(2);
    private static final Duration LONG = Duration.ofSeconds(10);

    /** Time in which an instance notices its isolation and the others hear of it. */
    private static final Duration NOTICED = Duration.ofSeconds(1);

    /** Time without answers after which others are suspected to have failed, but not given up. */
    private static final Duration SUSPECTED = Duration.ofMillis(2500);

    /** Bound on all control traffic of an instance. */
    private static final int MAX_CONTROL_BYTES_PER_SECOND = 20_000;

    private static RequestKind kind(int request) {
        return request % 2 == 0 ? RequestKind.IDEMPOTENT : RequestKind.ONCE_ONLY;
    }

    /** Sends requests in turn to the instances with the given numbers that run. */
    private static RelayFleet.Outcomes play(
            RelayFleet fleet, List<Integer> numbers, Duration limit, Duration time) {
        RelayFleet.Outcomes outcomes = new RelayFleet.Outcomes();
        long count = time.dividedBy(INTERVAL);
        for (int i = 0; i < count; i++) {
            FleetRig.Node node = fleet.rig().node(numbers.get(i % numbers.size()));
            fleet.request(node, kind(i / numbers.size()), limit, outcomes);
            fleet.rig().scheduler().advance(INTERVAL);
        }
        return outcomes;
    }

    private static void isolate(RelayFleet fleet, List<Integer> numbers) {
        numbers.forEach(n -> fleet.rig().node(n).paths.set(UpstreamPaths.Path.REFUSED));
    }

    private static List<Integer> numbers(int from, int to) {
        return IntStream.range(from, to).boxed().toList();
    }

    /** Returns the failures that callers bear at instances in such a state. */
    private static int tolerated(RelayFleet.Outcomes outcomes) {
        return 10 + outcomes.opened / 50;
    }

    private static void assertServed(RelayFleet.Outcomes o) {
        assertTrue(o.opened - o.served <= tolerated(o), o.toString());
    }

    /**
     * Guards against requests that are handed about among isolated instances while the only ones
     * that reach upstreams are in their planned stop.
     */
    @Test
    public void stoppingInstancesServeTheRequestsOfIsolatedOnes() {
        RelayFleet fleet = new RelayFleet(9, 3);
        List<Integer> isolated = numbers(0, 6);
        numbers(6, 9).forEach(fleet::stop);
        isolate(fleet, isolated);
        play(fleet, isolated, LONG, NOTICED);
        fleet.relayed = 0;
        RelayFleet.Outcomes early = play(fleet, isolated, LONG, Duration.ofMillis(1300));
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertServed(early);
        // Each request is relayed once.
        assertTrue(fleet.relayed <= early.opened + tolerated(early), "relayed " + fleet.relayed);
        RelayFleet.Outcomes late = play(fleet, isolated, SHORT, Duration.ofMillis(1800));
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertServed(late);
    }

    /**
     * Guards against a data centre that serves nobody while the instances of others are stopped.
     */
    @Test
    public void dataCentreIsServedWhileOthersAreStoppedInTurn() {
        RelayFleet fleet = new RelayFleet(8, 2);
        List<Integer> isolated = List.of(0, 2, 4, 6);
        List<Integer> others = List.of(1, 3, 5, 7);
        Duration gap = Duration.ofMillis(1500);
        for (int i = 0; i < others.size(); i++) {
            int number = others.get(i);
            Duration begin = gap.multipliedBy(i).plusMillis(1);
            fleet.rig().scheduler().after(begin, () -> fleet.stop(number));
            Duration end = begin.plusSeconds(7);
            fleet.rig().scheduler().after(end, () -> fleet.rig().kill(number));
            fleet.rig().scheduler().after(end.plusSeconds(1), () -> fleet.rig().restart(number));
        }
        isolate(fleet, isolated);
        play(fleet, isolated, SHORT, NOTICED);
        RelayFleet.Outcomes o = play(fleet, isolated, SHORT, Duration.ofSeconds(12));
        fleet.rig().scheduler().advance(SHORT);
        assertServed(o);
    }

    /**
     * Guards against a data centre that serves nobody while all instances are stopped in turn, its
     * own last. Requests come to instances that are not in their stop, half of them with deadlines
     * beyond any stop.
     */
    @Test
    public void dataCentreIsServedWhileAllAreStoppedInTurn() {
        RelayFleet fleet = new RelayFleet(9, 2);
        List<Integer> isolated = List.of(1, 3, 5, 7);
        List<Integer> order = List.of(0, 2, 4, 6, 8, 1, 3, 5, 7);
        Set<Integer> stopped = new HashSet<>();
        for (int i = 0; i < order.size(); i++) {
            int number = order.get(i);
            Duration begin = Duration.ofMillis(1500).multipliedBy(i).plusMillis(1);
            VirtualScheduler scheduler = fleet.rig().scheduler();
            scheduler.after(begin, () -> stopped.add(number));
            scheduler.after(begin, () -> fleet.stop(number));
            Duration end = begin.plusMillis(6900);
            scheduler.after(end, () -> fleet.rig().kill(number));
            scheduler.after(
                    end.plusMillis(1700),
                    () -> {
                        FleetRig.Node restarted = fleet.rig().restart(number);
                        if (isolated.contains(number)) {
                            restarted.paths.set(UpstreamPaths.Path.REFUSED);
                        }
                        stopped.remove(number);
                    });
        }
        fleet.rig().scheduler().advance(Duration.ofSeconds(1));
        isolate(fleet, isolated);
        play(fleet, isolated, SHORT, NOTICED);
        RelayFleet.Outcomes o = new RelayFleet.Outcomes();
        for (int i = 0; i < Duration.ofSeconds(9).dividedBy(INTERVAL); i++) {
            int number = isolated.get(i % isolated.size());
            if (!stopped.contains(number)) {
                Duration limit = i / isolated.size() % 2 == 0 ? SHORT : LONG;
                fleet.request(fleet.rig().node(number), kind(i / 8), limit, o);
            }
            fleet.rig().scheduler().advance(INTERVAL);
        }
        fleet.rig().scheduler().advance(SHORT);
        assertServed(o);
    }

    /**
     * Guards against an isolated instance that serves nobody because it got no answers to its
     * probes for a moment: the others may still take its requests.
     */
    @Test
    public void suspectedInstancesServeTheRequestsOfIsolatedOnes() {
        RelayFleet fleet = new RelayFleet(3, 1);
        isolate(fleet, List.of(0));
        play(fleet, List.of(0), LONG, NOTICED);
        FleetRig.Node node = fleet.rig().node(0);
        node.partition = 1;
        fleet.rig().runPartitioned(SUSPECTED);
        assertEquals(node.membership.live().size(), 1, "not suspected");
        RelayFleet.Outcomes o = play(fleet, List.of(0), LONG, Duration.ofMillis(300));
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertEquals(o.served, o.opened, o.toString());
    }

    /** Guards against a caller that is told to wait although another instance would serve it. */
    @Test
    public void refusalSaysThatNoInstanceReachesTheUpstreams() {
        RelayFleet fleet = new RelayFleet(4, 2);
        List<Integer> all = numbers(0, 4);
        isolate(fleet, all);
        play(fleet, all, LONG, Duration.ofSeconds(2));
        fleet.relayed = 0;
        RelayFleet.Outcomes o = play(fleet, all, LONG, Duration.ofMillis(500));
        assertEquals(o.codes.keySet(), Set.of(ResultCode.ISOLATED), o.toString());
        assertEquals(fleet.relayed, 0);
        // The isolation has lasted for two seconds, so it is not expected to end at once.
        assertTrue(o.lastRetryAfter.get().toMillis() >= 900, o.lastRetryAfter.toString());
    }

    /** Guards against instances that are left out although they reach the upstreams again. */
    @Test
    public void endOfTheIsolationIsKnownAtOnce() {
        RelayFleet fleet = new RelayFleet(4, 2);
        List<Integer> all = numbers(0, 4);
        isolate(fleet, all);
        play(fleet, all, LONG, Duration.ofSeconds(2));
        fleet.rig().node(3).paths.set(UpstreamPaths.Path.OPEN);
        fleet.rig()
                .scheduler()
                .advance(Reachability.PROBE_INTERVAL.plus(FleetRig.TICK).plusMillis(10));
        RelayFleet.Outcomes o = play(fleet, numbers(0, 3), LONG, Duration.ofSeconds(1));
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertEquals(o.served, o.opened, o.toString());
    }

    /** Guards against lost messages that make an instance forget what others have stated. */
    @Test
    public void lostMessagesAreMadeUpFor() {
        RelayFleet fleet = new RelayFleet(9, 3);
        fleet.rig().setLoss(0.2);
        List<Integer> isolated = numbers(0, 6);
        numbers(6, 9).forEach(fleet::stop);
        isolate(fleet, isolated);
        play(fleet, isolated, LONG, NOTICED);
        RelayFleet.Outcomes o = play(fleet, isolated, LONG, Duration.ofMillis(1300));
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertServed(o);
    }

    /** Guards against a state that outlives the process which stated it. */
    @Test
    public void restartedInstanceIsNotTakenForIsolated() {
        RelayFleet fleet = new RelayFleet(4, 2);
        List<Integer> all = numbers(0, 4);
        isolate(fleet, all);
        play(fleet, all, LONG, Duration.ofSeconds(2));
        fleet.rig().restart(3);
        fleet.rig().scheduler().advance(Duration.ofMillis(5));
        RelayFleet.Outcomes o = play(fleet, numbers(0, 3), LONG, Duration.ofSeconds(1));
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertEquals(o.served, o.opened, o.toString());
    }

    /** Guards against instances that depend on statements which an earlier build does not make. */
    @Test
    public void withoutStatementsInstancesLearnFromRefusals() {
        RelayFleet fleet = new RelayFleet(9, 3);
        fleet.rig().drop(Envelope.BodyCase.RELAY_STATE);
        List<Integer> isolated = numbers(0, 6);
        isolate(fleet, isolated);
        play(fleet, isolated, LONG, NOTICED);
        RelayFleet.Outcomes o = play(fleet, isolated, LONG, Duration.ofSeconds(5));
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertServed(o);
    }

    /** Guards against a caller that is kept waiting although others than those tried serve. */
    @Test
    public void callerComesBackSoonIfAnotherInstanceServes() {
        RelayFleet fleet = new RelayFleet(12, 3);
        fleet.rig().drop(Envelope.BodyCase.RELAY_STATE);
        List<Integer> all = numbers(0, 12);
        isolate(fleet, all);
        RelayFleet.Outcomes o = new RelayFleet.Outcomes();
        fleet.request(fleet.rig().node(0), RequestKind.ONCE_ONLY, LONG, o);
        fleet.rig().scheduler().advance(Duration.ofMillis(50));
        // Six others have been tried and five have not.
        assertEquals(o.codes.keySet(), Set.of(ResultCode.ISOLATED), o.toString());
        assertTrue(o.lastRetryAfter.get().toMillis() <= 50, o.lastRetryAfter.toString());
    }

    /** Guards against an instance that is left out because it lacks upstreams of one service. */
    @Test
    public void instanceWithoutUpstreamsOfOneServiceServesTheOthers() {
        RelayFleet fleet = new RelayFleet(2, 1);
        FleetRig.Node node = fleet.rig().node(0);
        isolate(fleet, List.of(0));
        play(fleet, List.of(0), LONG, NOTICED);
        RelayFleet.Outcomes o = new RelayFleet.Outcomes();
        for (int i = 0; i < 3; i++) {
            fleet.request(node, RequestKind.ONCE_ONLY, ForwardRig.ENGINES, LONG, o);
            fleet.rig().scheduler().advance(Duration.ofMillis(10));
        }
        assertEquals(o.codes, Map.of(ResultCode.NO_UPSTREAM, 3));
        fleet.request(node, RequestKind.ONCE_ONLY, LONG, o);
        fleet.rig().scheduler().advance(Duration.ofMillis(300));
        assertEquals(o.served, 1, o.toString());
    }

    /** Guards against statements that take more than the bound on control traffic. */
    @Test
    public void statementsStayWithinTheBoundOnControlTraffic() {
        RelayFleet fleet = new RelayFleet(60, 3);
        List<Integer> isolated = numbers(0, 40);
        isolate(fleet, isolated);
        for (int second = 0; second < 4; second++) {
            fleet.rig().clearReceived();
            play(fleet, isolated, SHORT, Duration.ofSeconds(1));
            // What collectors send for others is bounded by their links.
            Set<FleetRig.Node> collectors = Set.copyOf(fleet.rig().collectors());
            long most =
                    fleet.rig().up().stream()
                            .filter(n -> !collectors.contains(n))
                            .mapToLong(n -> n.sentBytes)
                            .max()
                            .getAsLong();
            assertTrue(most < MAX_CONTROL_BYTES_PER_SECOND, second + ": " + most + " bytes");
        }
        assertEquals(fleet.rig().node(50).forwarder.relays().isolatedOthers(), 40);
    }
}
