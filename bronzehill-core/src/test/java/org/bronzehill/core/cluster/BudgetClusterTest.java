package org.bronzehill.core.cluster;

import static org.bronzehill.core.cluster.VirtualCluster.MS;
import static org.bronzehill.core.cluster.VirtualCluster.SECOND;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.bronzehill.config.Limits;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.protocol.generated.HolderHandover;
import org.bronzehill.protocol.generated.PermitRequest;
import org.testng.annotations.Test;

/** Load permits for the region's weight store in a fleet of several instances. */
public class BudgetClusterTest {

    private static final String STORE = Resources.store(VirtualCluster.REGION);
    private static final double RATE = 4;

    /** Starts a fleet and waits until the budget's holder may issue permits. */
    private static VirtualCluster started(long seed, int instances) {
        VirtualCluster c = LeaseClusterTest.started(seed, instances, 2, 3);
        c.runFor(6 * SECOND);
        return c;
    }

    private static void requestPermit(VirtualNode n, long sequence, long deadlineMs, double value) {
        PermitRequest r =
                PermitRequest.newBuilder()
                        .setEngine("e-" + n.id())
                        .setAdapter("a" + sequence)
                        .setSequence(sequence)
                        .setDeadlineMs(deadlineMs)
                        .setValue(value)
                        .build();
        n.run(() -> n.budget.request(r, n.effects()));
    }

    private static void requestPermitsEverywhere(VirtualCluster c, int each) {
        for (VirtualNode n : c.running()) {
            for (int i = 1; i <= each; i++) {
                requestPermit(n, i, 60_000, 1);
            }
        }
    }

    /** Completes each load 250 ms after its permit, until the end of the run. */
    private static void finishLoads(VirtualCluster c, int[] done) {
        while (done[0] < c.permits.size()) {
            VirtualCluster.Permit p = c.permits.get(done[0]++);
            c.schedule(
                    250 * MS,
                    () ->
                            p.node()
                                    .run(
                                            () ->
                                                    p.node()
                                                            .budget
                                                            .returnPermit(
                                                                    p.engine(),
                                                                    p.sequence(),
                                                                    true,
                                                                    p.node().effects())));
        }
        c.schedule(50 * MS, () -> finishLoads(c, done));
    }

    private static VirtualNode otherNode(VirtualCluster c, VirtualNode node) {
        return c.running().stream().filter(n -> n != node).findFirst().orElseThrow();
    }

    /** Guards against permits above the store's rate, and against leaving the rate unused. */
    @Test
    public void permitsFollowTheRate() {
        VirtualCluster c = started(61, 9);
        finishLoads(c, new int[1]);
        requestPermitsEverywhere(c, 30);
        c.runFor(20 * SECOND);
        assertTrue(c.permits.size() <= RATE * 20 + 1, "permits: " + c.permits.size());
        assertTrue(c.permits.size() >= RATE * 20 - 2, "permits: " + c.permits.size());
    }

    /** Guards against exceeding the limit of concurrent transfers when loads do not end. */
    @Test
    public void permitsInUseAreBounded() {
        VirtualCluster c = new VirtualCluster(62, 9, 2, 3);
        c.limits = new Limits(100, 2, 16, 1 << 20, 1024, 4096, 2000);
        c.service.publish(c.configuration(1));
        c.startAll();
        c.runFor(12 * SECOND);
        requestPermitsEverywhere(c, 30);
        c.runFor(4 * SECOND);
        assertEquals(c.permits.size(), 16);
        c.runFor(4 * SECOND);
        assertEquals(c.permits.size(), 32, "expired permits are issued again");
    }

    /** Guards against ordering requests only within each instance instead of over the fleet. */
    @Test
    public void requestsAreOrderedOverTheFleetByDeadlineAndValue() {
        VirtualCluster c = started(63, 9);
        List<VirtualNode> nodes = c.running();
        c.runFor(SECOND);
        requestPermit(nodes.get(0), 99, 100, 1);
        // The next token is available 250 ms after this permit, after all other requests arrived.
        c.runFor(60 * MS);
        int before = c.permits.size();
        requestPermit(nodes.get(1), 1, 50_000, 1);
        requestPermit(nodes.get(2), 2, 20_000, 1);
        requestPermit(nodes.get(3), 3, 20_000, 9);
        requestPermit(nodes.get(4), 4, 2_000, 1);
        c.runFor(3 * SECOND);
        List<Long> order = c.permits.stream().skip(before).map(p -> p.sequence()).toList();
        assertEquals(order, List.of(4L, 3L, 2L, 1L));
    }

    /** Guards against permits for withdrawn requests, and against tokens lost to unused permits. */
    @Test
    public void unusedPermitsAreReturned() {
        VirtualCluster c = started(64, 9);
        VirtualNode node = otherNode(c, c.holder(STORE));
        requestPermit(node, 1, 9_000, 1);
        node.budget.withdraw("e-" + node.id(), 1, node.effects());
        c.runFor(SECOND);
        assertEquals(c.permits.size(), 0);
        requestPermit(node, 2, 9_000, 1);
        c.runFor(20 * MS);
        assertEquals(c.permits.size(), 1);
        node.budget.returnPermit("e-" + node.id(), 2, false, node.effects());
        requestPermit(node, 3, 9_000, 1);
        c.runFor(20 * MS);
        assertEquals(c.permits.size(), 2, "the token of the unused permit was not returned");
    }

    /**
     * Guards against permits above the rate while a killed holder is replaced, and against no
     * further permits afterwards.
     */
    @Test
    public void nextHolderContinuesAfterTheHolderIsKilled() {
        VirtualCluster c = started(65, 9);
        finishLoads(c, new int[1]);
        requestPermitsEverywhere(c, 60);
        c.runFor(5 * SECOND);
        VirtualNode old = c.holder(STORE);
        c.kill(old.id());
        int before = c.permits.size();
        c.runFor(10 * SECOND);
        int during = c.permits.size() - before;
        assertTrue(during <= RATE * 10 + 1, "permits while the holder was replaced: " + during);
        assertNotEquals(c.holder(STORE).id(), old.id());
        before = c.permits.size();
        c.runFor(10 * SECOND);
        int after = c.permits.size() - before;
        assertTrue(after <= RATE * 10 + 1, "permits afterwards: " + after);
        // The dead instance's share of the rate stays unused while the list still contains it.
        assertTrue(after >= RATE * 10 * 8 / 9 - 2, "permits afterwards: " + after);
    }

    private static VirtualCluster partitioned(long seed, boolean eachUsesWholeRate) {
        VirtualCluster c = started(seed, 9);
        finishLoads(c, new int[1]);
        requestPermitsEverywhere(c, 100);
        c.runFor(3 * SECOND);
        Set<String> cut = new TreeSet<>(Set.of("n000", "n004", "n008"));
        Set<String> rest = new TreeSet<>(c.nodes.keySet());
        rest.removeAll(cut);
        c.network.partition(cut, rest);
        if (eachUsesWholeRate) {
            // The list of each isolated instance contains only itself, so that it uses the whole
            // rate.
            for (String id : cut) {
                VirtualNode n = c.nodes.get(id);
                n.listFrozen = true;
                List<ListedInstance> own = new ArrayList<>(c.list.instances());
                own.removeIf(i -> !i.ref().id().equals(id));
                n.onListRead(new InstanceList(2, own, c.list.upstreams()));
            }
        }
        return c;
    }

    private static int permitsDuring(VirtualCluster c, long nanos) {
        int before = c.permits.size();
        c.runFor(nanos);
        return c.permits.size() - before;
    }

    /** Guards against both sides of a partition using the whole rate. */
    @Test
    public void permitsDuringAPartitionStayWithinTheBound() {
        for (long seed = 66; seed < 76; seed++) {
            VirtualCluster c = partitioned(seed, false);
            int first = permitsDuring(c, 6 * SECOND);
            // Rate x (1 + unreachable/n) until both sides have detected the partition, plus the one
            // token in each bucket.
            double bound = RATE * (1 + 6.0 / 9) * 6 + 1 + 6;
            assertTrue(first <= bound, "seed " + seed + ": " + first + " permits in 6 s");
            int later = permitsDuring(c, 20 * SECOND);
            assertTrue(later <= RATE * 20 + 7, "seed " + seed + ": " + later + " in 20 s");
            assertTrue(later >= RATE * 20 / 3, "seed " + seed + ": " + later + " in 20 s");
            c.network.heal();
            c.runFor(8 * SECOND);
            int healed = permitsDuring(c, 10 * SECOND);
            assertTrue(healed <= RATE * 10 + 1, "seed " + seed + ": " + healed + " in 10 s");
        }
    }

    /** Checks that the bound of the partition test detects instances that use the whole rate. */
    @Test
    public void partitionCheckDetectsInstancesThatUseTheWholeRate() {
        VirtualCluster c = partitioned(66, true);
        c.runFor(12 * SECOND);
        assertTrue(permitsDuring(c, 20 * SECOND) > RATE * 20 + 7);
    }

    /**
     * Guards against five seconds without loads at each planned shutdown of the budget's holder.
     */
    @Test
    public void handoverAvoidsAGapInPermits() {
        VirtualCluster c = started(77, 9);
        finishLoads(c, new int[1]);
        requestPermitsEverywhere(c, 30);
        c.runFor(2 * SECOND);
        VirtualNode old = c.holder(STORE);
        HolderHandover state = old.budget.handover();
        old.membership.leave(old.effects());
        old.leases.release(STORE, state, old.effects());
        int before = c.permits.size();
        c.runFor(3 * SECOND);
        assertNotNull(c.holder(STORE));
        int during = c.permits.size() - before;
        assertTrue(during >= RATE * 3 * 8 / 9 - 4, "permits in 3 s: " + during);
        assertTrue(during <= RATE * 3 + 1, "permits in 3 s: " + during);
    }
}
