package org.bronzehill.core.onceonly;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.onceonly.ActFleet.Node;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests at-most-once execution under resends, crashes, pauses, partitions and lost answers. */
public class ActManagerTest {

    private static final Duration BUDGET = Duration.ofSeconds(3);
    private static final String KEY = "creamery:pickup-7";

    private static ActFleet startedFleet(int size, long seed) {
        ActFleet fleet = new ActFleet(size, seed);
        fleet.run(ClaimCopier.MAX_ATTEMPT_DURATION.plusSeconds(1));
        return fleet;
    }

    private static String coordinatorOf(ActFleet fleet) {
        return WitnessSets.coordinator(KEY, List.copyOf(fleet.listed));
    }

    private static Node otherThan(ActFleet fleet, String id) {
        return fleet.nodes.values().stream()
                .filter(n -> n.running && !n.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Tests without failures. */
    public static class WithoutFailure {

        @Test(description = "guards against an act that the runner executes twice or never")
        public void runsExactlyOnceThoughEveryInstanceGetsTheRequest() {
            ActFleet fleet = startedFleet(9, 1);
            fleet.nodes.values().forEach(n -> n.submit("r-" + n.id, "pickup-7", BUDGET));
            fleet.run(Duration.ofSeconds(2));

            assertEquals(fleet.executions.get(KEY), Integer.valueOf(1));
            fleet.nodes.values().forEach(n -> assertTrue(onlyResult(n).code().isSuccess()));
            assertEquals(fleet.violations, List.of());
        }

        @Test(description = "guards against a resend that runs the act again")
        public void answersResendFromTheRecord() {
            ActFleet fleet = startedFleet(9, 2);
            Node first = fleet.nodes.get("entry-0");
            first.submit("r1", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(1));
            Node second = fleet.nodes.get("entry-5");
            second.submit("r2", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(1));

            assertEquals(first.results.get("r1").code(), ResultCode.OK);
            assertEquals(second.results.get("r2").code(), ResultCode.RECORDED_ANSWER);
            assertEquals(fleet.executions.get(KEY), Integer.valueOf(1));
        }

        @Test(description = "guards against one key that is used for two different acts")
        public void refusesKeyUsedForAnotherBody() {
            ActFleet fleet = startedFleet(5, 3);
            Node node = fleet.nodes.get("entry-0");
            node.submit("r1", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(1));
            ActRequest other =
                    new ActRequest(
                            "r2",
                            "pickup-7",
                            "creamery",
                            "pickup-confirmation",
                            ActFleet.SERVICE,
                            "confirm",
                            ByteString.copyFromUtf8("litres=41"),
                            "application/json",
                            BUDGET);
            fleet.nodes.get(coordinatorOf(fleet)).manager.submit(other, e -> {});

            Node coordinator = fleet.nodes.get(coordinatorOf(fleet));
            assertEquals(coordinator.results.get("r2").code(), ResultCode.KEY_REUSED);
            assertEquals(fleet.executions.get(KEY), Integer.valueOf(1));
        }
    }

    /** Tests with failing instances. */
    public static class WithFailingInstances {

        @Test(description = "guards against a second run after the executor died")
        public void findsAnswerRecordedByDeadExecutor() {
            ActFleet fleet = startedFleet(9, 4);
            String coordinator = coordinatorOf(fleet);
            Node origin = otherThan(fleet, coordinator);
            origin.submit("r1", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(1));
            fleet.kill(coordinator);
            origin.submit("r2", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(4));

            assertEquals(origin.results.get("r2").code(), ResultCode.RECORDED_ANSWER);
            assertEquals(fleet.violations, List.of());
        }

        @Test(
                description =
                        "guards against a second execution while the claimed act may be in flight")
        public void reportsMayHaveRunWhenExecutorDiedBeforeTheCall() {
            ActFleet fleet = startedFleet(9, 5);
            String coordinator = coordinatorOf(fleet);
            Node origin = otherThan(fleet, coordinator);
            origin.submit("r1", "pickup-7", BUDGET);
            // Long enough for the witnesses to accept the claim, too short for the call.
            fleet.run(Duration.ofMillis(20));
            fleet.kill(coordinator);
            origin.submit("r2", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(4));

            ResultCode code = origin.results.get("r2").code();
            boolean executed = fleet.executions.containsKey(KEY);
            assertEquals(code, executed ? ResultCode.RECORDED_ANSWER : ResultCode.ACT_MAY_HAVE_RUN);
            assertEquals(fleet.violations, List.of());
        }

        @Test(description = "guards against a paused executor that runs an act resolved meanwhile")
        public void pausedExecutorDoesNotRunTheActAfterResuming() {
            ActFleet fleet = startedFleet(9, 6);
            String coordinator = coordinatorOf(fleet);
            Node origin = otherThan(fleet, coordinator);
            origin.submit("r1", "pickup-7", BUDGET);
            fleet.run(Duration.ofMillis(10));
            fleet.nodes.get(coordinator).paused = true;
            fleet.run(Duration.ofSeconds(15));
            fleet.nodes.get(coordinator).paused = false;
            origin.submit("r2", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(5));

            assertTrue(fleet.executions.getOrDefault(KEY, 0) <= 1);
            assertEquals(fleet.violations, List.of());
        }

        @Test(description = "guards against a restarted witness that votes without its old claims")
        public void restartedWitnessesCopyClaimsBeforeTheyVote() {
            ActFleet fleet = startedFleet(9, 7);
            Node origin = fleet.nodes.get("entry-0");
            origin.submit("r1", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(1));
            List<String> witnesses = WitnessSets.witnesses(KEY, List.copyOf(fleet.listed));
            for (String w : witnesses) {
                fleet.kill(w);
                fleet.run(Duration.ofMillis(500));
                fleet.start(w);
                fleet.run(Duration.ofSeconds(1));
            }
            long holding =
                    witnesses.stream()
                            .filter(w -> fleet.nodes.get(w).manager.claimCount() == 1)
                            .count();
            assertEquals(holding, witnesses.size());
        }
    }

    /** Tests with a leaving runner. */
    public static class WithLeavingRunner {

        @Test(
                description =
                        "guards against a second run because the runner that ran the act is leaving")
        public void findsActAtLeavingRunnerAfterTheClaimsAreLost() {
            ActFleet fleet = startedFleet(5, 12);
            Node node = fleet.nodes.get("entry-0");
            node.submit("r1", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(1));
            fleet.listed.forEach(fleet::start);
            fleet.runners =
                    List.of(
                            ActFleet.runner("runner-1", ListedState.LEAVING),
                            ActFleet.runner("runner-2", ListedState.LIVE));
            fleet.run(ClaimCopier.MAX_ATTEMPT_DURATION.plusSeconds(1));
            Node restarted = fleet.nodes.get("entry-0");
            restarted.submit("r2", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(2));

            assertEquals(restarted.results.get("r2").code(), ResultCode.RECORDED_ANSWER);
            assertEquals(fleet.executions.get(KEY), Integer.valueOf(1));
        }
    }

    /** Tests with failing links. */
    public static class WithFailingLinks {

        @Test(description = "guards against acts on both sides of a partition")
        public void onlyTheMajoritySideRunsTheAct() {
            ActFleet fleet = startedFleet(9, 8);
            List<String> witnesses = WitnessSets.witnesses(KEY, List.copyOf(fleet.listed));
            fleet.partition(Set.of(witnesses.get(0), witnesses.get(1)));
            Node minority = fleet.nodes.get(witnesses.get(0));
            Node majority = fleet.nodes.get(witnesses.get(2));
            minority.submit("r1", "pickup-7", BUDGET);
            majority.submit("r2", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(4));

            assertEquals(minority.results.get("r1").code(), ResultCode.NO_WITNESSES);
            assertEquals(majority.results.get("r2").code(), ResultCode.OK);
            fleet.heal();
            minority.submit("r3", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(4));
            assertTrue(minority.results.get("r3").code().isSuccess());
            assertEquals(fleet.violations, List.of());
        }

        @Test(
                description =
                        "guards against reporting an act as not run because its answer was lost")
        public void resolvesLostAnswerByLookup() {
            ActFleet fleet = startedFleet(9, 9);
            fleet.lostAnswerRate = 1;
            Node node = fleet.nodes.get("entry-3");
            node.submit("r1", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(4));

            assertEquals(node.results.get("r1").code(), ResultCode.RECORDED_ANSWER);
            assertEquals(fleet.violations, List.of());
        }
    }

    /** Tests with a changing instance list. */
    public static class WithChangingList {

        @Test(
                description =
                        "guards against new witnesses that do not know the claims of the old ones")
        public void claimsSurviveAReplacementOfAllWitnesses() {
            ActFleet fleet = startedFleet(7, 10);
            Node origin = fleet.nodes.get("entry-0");
            origin.submit("r1", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(1));
            List<String> witnesses = WitnessSets.witnesses(KEY, List.copyOf(fleet.listed));
            for (String w : witnesses) {
                fleet.start(w + "-new");
                fleet.listed.add(w + "-new");
                fleet.publishList(Duration.ofSeconds(1));
                fleet.run(Duration.ofSeconds(2));
                fleet.nodes.get(w).manager.handOver(e -> {});
                fleet.kill(w);
                fleet.listed.remove(w);
                fleet.publishList(Duration.ofSeconds(1));
                fleet.run(Duration.ofSeconds(2));
            }
            Node last = otherThan(fleet, "none");
            last.submit("r2", "pickup-7", BUDGET);
            fleet.run(Duration.ofSeconds(4));
            assertEquals(last.results.get("r2").code(), ResultCode.RECORDED_ANSWER);
            assertEquals(fleet.violations, List.of());
        }
    }

    /** Tests with random schedules of faults. */
    public static class UnderRandomFaults {

        private static final long FIRST_SEED = 1000;

        @DataProvider
        public Object[][] seeds() {
            Object[][] seeds = new Object[Integer.getInteger("act.seeds", 40)][];
            for (int i = 0; i < seeds.length; i++) {
                seeds[i] = new Object[] {FIRST_SEED + i};
            }
            return seeds;
        }

        @Test(
                dataProvider = "seeds",
                description = "guards against double execution and false 'not run' answers")
        public void neverRunsTwiceOrReportsNotRunFalsely(long seed) {
            ActFleet fleet = new RandomSchedule(seed).run();
            assertEquals(fleet.violations, List.of(), "seed " + seed);
            assertFalse(fleet.executions.isEmpty(), "seed " + seed + " executed nothing");
            for (Node n : fleet.nodes.values()) {
                n.results.forEach((id, r) -> assertNotRunIfReportedSo(fleet, id, r, seed));
            }
        }

        @Test(description = "shows that the check for double execution can detect one")
        public void instancesThatIgnoreEachOtherRunTheActTwice() {
            ActFleet fleet = startedFleet(9, 11);
            fleet.isolated = true;
            fleet.nodes.values().forEach(n -> n.submit("r-" + n.id, "pickup-7", BUDGET));
            fleet.run(Duration.ofSeconds(15));
            fleet.nodes.values().forEach(n -> n.submit("s-" + n.id, "pickup-8", BUDGET));
            fleet.run(Duration.ofSeconds(3));
            assertFalse(fleet.violations.isEmpty());
        }

        private static void assertNotRunIfReportedSo(
                ActFleet fleet, String id, ActResult result, long seed) {
            boolean executed =
                    fleet.executedRequests.values().stream().anyMatch(ids -> ids.contains(id));
            if (result.code().runState() == RunState.NOT_RUN) {
                assertFalse(
                        executed,
                        "seed "
                                + seed
                                + ": "
                                + id
                                + " was refused with "
                                + result.code()
                                + " but ran");
            }
        }
    }

    private static ActResult onlyResult(Node node) {
        assertEquals(node.results.size(), 1);
        return node.results.values().iterator().next();
    }
}
