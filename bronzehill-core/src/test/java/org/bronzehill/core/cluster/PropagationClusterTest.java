package org.bronzehill.core.cluster;

import static org.bronzehill.core.cluster.VirtualCluster.MS;
import static org.bronzehill.core.cluster.VirtualCluster.SECOND;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.bronzehill.config.AdapterSpec;
import org.testng.annotations.Test;

/** Propagation of the configuration in a fleet of several instances. */
public class PropagationClusterTest {

    private static VirtualCluster started(long seed, int instances) {
        return LeaseClusterTest.started(seed, instances, 2, 3);
    }

    private static Set<AdapterSpec> adapters(int count, int version) {
        Set<AdapterSpec> all = new HashSet<>();
        String weights = "s3://weights/" + "x".repeat(150) + "/";
        for (int i = 0; i < count; i++) {
            Map<Integer, String> versions = Map.of(version, weights + i);
            all.add(
                    new AdapterSpec(
                            "adapter-" + i, "base", "group", versions, Map.of("*", version)));
        }
        return all;
    }

    private static void assertNumber(VirtualCluster c, long number) {
        for (VirtualNode n : c.running()) {
            assertEquals(n.store.current().number(), number, n.id());
        }
    }

    /** Guards against changes that arrive only with a poll, and against too many service calls. */
    @Test
    public void newNumberReachesEveryInstance() {
        VirtualCluster c = started(31, 50);
        c.running().forEach(n -> assertTrue(n.propagator.caughtUp(), n.id()));
        long before = c.service.calls;
        c.service.publish(c.configuration(2));
        c.runFor(5 * SECOND);
        assertNumber(c, 2);
        // Six watchers: one renewed watch and at most two checks each. The other 44 instances read
        // once in 25 to 50 s; 18 of them within 5 s would be twice their share.
        assertTrue(c.service.calls - before <= 36, "calls: " + (c.service.calls - before));
    }

    /**
     * Guards against propagation that depends on the service; any instance may have the highest
     * number.
     */
    @Test
    public void numberSpreadsWhileTheServiceIsDownOrStale() {
        VirtualCluster c = started(32, 9);
        c.service.down = true;
        VirtualNode one = c.nodes.get("n004");
        c.runFor(SECOND);
        c.service.down = false;
        c.nodes.keySet().forEach(c.service.downForInstances::add);
        one.onConfigurationRead(org.bronzehill.config.ImageCodec.encode(c.configuration(7)));
        c.runFor(5 * SECOND);
        assertNumber(c, 7);
        c.service.downForInstances.clear();
        c.service.publish(c.configuration(6));
        c.runFor(10 * SECOND);
        assertNumber(c, 7);
        long stale = c.running().stream().mapToLong(n -> n.store.staleImages()).sum();
        assertTrue(stale > 0, "older answers of the service are counted");
        assertEquals(c.violations, List.of());
    }

    /** Guards against a data centre that gets no updates after all its watchers have failed. */
    @Test
    public void failedWatchersAreReplaced() {
        VirtualCluster c = started(33, 9);
        List<VirtualNode> watchers =
                c.running().stream().filter(n -> n.propagator.isWatcher()).toList();
        assertEquals(watchers.size(), 6);
        watchers.forEach(w -> c.kill(w.id()));
        c.runFor(8 * SECOND);
        assertEquals(c.running().stream().filter(n -> n.propagator.isWatcher()).count(), 3);
        c.service.publish(c.configuration(2));
        c.runFor(5 * SECOND);
        assertNumber(c, 2);
    }

    /** Guards against a number that is never read because only the watchers lost the service. */
    @Test
    public void othersReadWhenNoWatcherCan() {
        VirtualCluster c = started(38, 9);
        c.running().stream()
                .filter(n -> n.propagator.isWatcher())
                .forEach(n -> c.service.downForInstances.add(n.id()));
        c.service.publish(c.configuration(2));
        c.runFor(60 * SECOND);
        assertNumber(c, 2);
    }

    /** Guards against an old number at an instance that is isolated from all peers. */
    @Test
    public void isolatedInstanceReadsTheServiceItself() {
        VirtualCluster c = started(34, 9);
        Set<String> one = Set.of("n003");
        Set<String> rest = new TreeSet<>(c.nodes.keySet());
        rest.removeAll(one);
        c.network.partition(one, rest);
        c.runFor(6 * SECOND);
        c.service.publish(c.configuration(2));
        c.runFor(7 * SECOND);
        assertNumber(c, 2);
    }

    /** Guards against messages above the transport's limit, and against resending all shards. */
    @Test
    public void largeConfigurationIsSplitAndOnlyChangesAreSent() {
        VirtualCluster c = new VirtualCluster(35, 3, 1, 1);
        c.adapters = adapters(20_000, 1);
        c.service.publish(c.configuration(1));
        for (String id : List.of("n000", "n001")) {
            c.service.downForInstances.add(id);
        }
        c.startAll();
        c.runFor(10 * SECOND);
        assertNumber(c, 1);
        long largest = c.running().stream().mapToLong(n -> n.largestMessage).max().orElse(0);
        assertTrue(largest > 500_000, "the configuration does not need several messages");
        assertTrue(largest <= 1 << 20, "largest message: " + largest);

        c.adapters = new HashSet<>(c.adapters);
        c.adapters.removeIf(a -> a.name().equals("adapter-17"));
        long before = c.running().stream().mapToLong(n -> n.sentBytes).sum();
        c.service.publish(c.configuration(2));
        c.runFor(3 * SECOND);
        assertNumber(c, 2);
        long sent = c.running().stream().mapToLong(n -> n.sentBytes).sum() - before;
        // One shard of about 90 KB for each of the two instances without the service.
        assertTrue(sent < 500_000, "bytes for one changed shard: " + sent);
    }

    /** Guards against readiness with a lower number than the reachable peers have. */
    @Test
    public void startingInstanceWaitsForTheHighestNumber() {
        VirtualCluster c = started(36, 9);
        c.service.publish(c.configuration(2));
        c.runFor(2 * SECOND);
        c.kill("n002");
        c.runFor(SECOND);
        c.service.staleForInstances.add("n002");
        c.messageFilter = e -> !e.hasConfigurationPush() || !e.getTo().equals("n002");
        VirtualNode fresh = c.start(2);
        c.runFor(1500 * MS);
        assertFalse(fresh.propagator.caughtUp());
        c.runFor(3 * SECOND);
        assertEquals(fresh.store.current().number(), 1);
        assertFalse(fresh.propagator.caughtUp(), "ready with an older number than its peers");
        c.messageFilter = e -> true;
        c.runFor(3 * SECOND);
        assertEquals(fresh.store.current().number(), 2);
        assertTrue(fresh.propagator.caughtUp());
    }

    /** Guards against an instance that serves requests under an old number after a pause. */
    @Test
    public void pausedInstanceChecksAgain() {
        VirtualCluster c = started(37, 9);
        VirtualNode node = c.nodes.get("n005");
        node.pause(4 * SECOND);
        c.service.downForInstances.add(node.id());
        c.messageFilter = e -> !e.getTo().equals("n005");
        c.runFor(4500 * MS);
        assertFalse(node.propagator.caughtUp());
        c.messageFilter = e -> true;
        node.run(() -> node.propagator.recheck(node.effects()));
        c.runFor(3 * SECOND);
        assertTrue(node.propagator.caughtUp());
    }
}
