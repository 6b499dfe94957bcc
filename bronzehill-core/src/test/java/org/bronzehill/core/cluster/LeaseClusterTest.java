package org.bronzehill.core.cluster;

import static org.bronzehill.core.cluster.VirtualCluster.MS;
import static org.bronzehill.core.cluster.VirtualCluster.SECOND;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.protocol.generated.HolderHandover;
import org.testng.annotations.Test;

/** Leases in a fleet of several instances under crashes, pauses, partitions and old lists. */
public class LeaseClusterTest {

    private static final String ENGINE = Resources.engine("e0");

    static VirtualCluster started(long seed, int instances, int engines, int dataCentres) {
        VirtualCluster c = new VirtualCluster(seed, instances, engines, dataCentres);
        c.service.publish(c.configuration(1));
        c.startAll();
        c.checkLeasesPeriodically(5 * MS);
        c.runFor(6 * SECOND);
        return c;
    }

    private static void assertClean(VirtualCluster c) {
        assertEquals(c.violations.toString(), "[]");
    }

    /**
     * Guards against candidates that split the grants between them again and again, so that a fleet
     * whose instances start at the same time has no lease holders.
     */
    @Test
    public void allResourcesAreHeldSoonAfterTheStartOfTheFleet() {
        for (int n : new int[] {1, 2, 3, 9}) {
            VirtualCluster c = started(n, n, 8, 3);
            assertEquals(c.unheldResources(), 0, "unheld with " + n + " instances");
            assertClean(c);
        }
    }

    /** Guards against leases that stay with a killed holder or move without a higher number. */
    @Test
    public void nextCandidateTakesOverFromKilledHolder() {
        VirtualCluster c = started(11, 9, 8, 3);
        VirtualNode old = c.holder(ENGINE);
        long fencing = old.leases.lease(ENGINE).get().fencing();
        c.kill(old.id());
        c.runFor(7 * SECOND);
        assertNotNull(c.holder(ENGINE));
        assertTrue(c.holder(ENGINE).leases.lease(ENGINE).get().fencing() > fencing);
        assertEquals(c.unheldResources(), 0);
        assertClean(c);
    }

    /** Guards against a paused holder that still acts as the holder after it resumes. */
    @Test
    public void pausedHolderHoldsNoLeaseWhenItResumes() {
        VirtualCluster c = started(12, 9, 8, 3);
        VirtualNode old = c.holder(ENGINE);
        old.pause(8 * SECOND);
        c.runFor(7900 * MS);
        assertFalse(old.leases.holds(ENGINE));
        assertNotEquals(c.holder(ENGINE).id(), old.id());
        c.runFor(3 * SECOND);
        assertTrue(old.lostLeases.contains(ENGINE));
        assertNotEquals(c.holder(ENGINE).id(), old.id());
        assertTrue(old.propagator.caughtUp());
        assertClean(c);
    }

    /** Guards against both sides of a partition holding the same resource. */
    @Test
    public void onlyTheSideWithTheMajorityHoldsLeases() {
        VirtualCluster c = started(13, 9, 8, 3);
        Set<String> minority = Set.of("n000", "n001", "n002");
        Set<String> majority = new TreeSet<>(c.nodes.keySet());
        majority.removeAll(minority);
        c.network.partition(minority, majority);
        c.runFor(9 * SECOND);
        for (String r : c.resources()) {
            VirtualNode h = c.holder(r);
            boolean possible = h != null && majority.contains(h.id());
            assertTrue(possible, r + " is held by " + (h == null ? "nobody" : h.id()));
        }
        c.network.heal();
        c.runFor(6 * SECOND);
        assertEquals(c.unheldResources(), 0);
        c.running().forEach(n -> assertEquals(n.membership.live().size(), 9, n.id()));
        assertClean(c);
    }

    /**
     * Guards against grantors that keep refusing the holder after a partition, because attempts on
     * the minority side used higher numbers. One more failed grantor would then end the lease.
     */
    @Test
    public void minorityGrantorsAcceptTheHolderAfterAPartition() {
        for (long seed = 66; seed < 76; seed++) {
            VirtualCluster c = started(seed, 9, 8, 3);
            Set<String> minority = Set.of("n000", "n004", "n008");
            Set<String> majority = new TreeSet<>(c.nodes.keySet());
            majority.removeAll(minority);
            c.network.partition(minority, majority);
            c.runFor(20 * SECOND);
            c.network.heal();
            c.runFor(8 * SECOND);
            for (String r : c.resources()) {
                String holder = c.holder(r).id();
                for (String id : minority) {
                    VirtualNode n = c.nodes.get(id);
                    boolean grantor = n.leases.isGrantor(r);
                    assertTrue(!grantor || n.leases.holderOf(r).contains(holder), r + " at " + id);
                }
            }
            assertClean(c);
        }
    }

    /** Guards against data centres that lose the leases on their own engines in a partition. */
    @Test
    public void partitionedDataCentreKeepsItsOwnEngines() {
        VirtualCluster c = new VirtualCluster(14, 9, 9, 3);
        c.scope = OwnershipScope.DATA_CENTRE;
        c.service.publish(c.configuration(1));
        c.startAll();
        c.checkLeasesPeriodically(5 * MS);
        c.runFor(6 * SECOND);
        assertEquals(c.unheldResources(), 0);
        Set<String> one = new TreeSet<>();
        Set<String> rest = new TreeSet<>();
        c.nodes.values().forEach(n -> (n.ref.dataCentre().equals("dc0") ? one : rest).add(n.id()));
        c.network.partition(one, rest);
        c.runFor(10 * SECOND);
        for (int i = 0; i < 9; i++) {
            VirtualNode h = c.holder(Resources.engine("e" + i));
            assertNotNull(h, "engine e" + i);
            assertEquals(h.ref.dataCentre(), "dc" + i % 3);
        }
        assertClean(c);
    }

    /** Guards against two holders, one under the old and one under the new ownership scope. */
    @Test
    public void changeOfTheScopeMovesLeasesWithoutTwoHolders() {
        for (long seed = 140; seed < 150; seed++) {
            VirtualCluster c = started(seed, 9, 9, 3);
            c.scope = OwnershipScope.DATA_CENTRE;
            c.running().stream()
                    .filter(n -> n.propagator.isWatcher())
                    .skip(1)
                    .forEach(n -> c.service.downForInstances.add(n.id()));
            c.network.maxDelayNanos = 300 * MS;
            c.service.publish(c.configuration(2));
            c.runFor(20 * SECOND);
            assertClean(c);
            assertEquals(c.unheldResources(), 0);
            for (int i = 0; i < 9; i++) {
                VirtualNode h = c.holder(Resources.engine("e" + i));
                assertEquals(h.ref.dataCentre(), "dc" + i % 3);
            }
        }
    }

    /** Guards against a holder that keeps its leases although it cannot send or cannot receive. */
    @Test
    public void holderWithOneWayLinksIsReplaced() {
        for (boolean outgoing : new boolean[] {true, false}) {
            VirtualCluster c = started(15, 9, 8, 3);
            VirtualNode old = c.holder(ENGINE);
            for (String other : c.nodes.keySet()) {
                if (!other.equals(old.id())) {
                    c.network.block(outgoing ? old.id() : other, outgoing ? other : old.id());
                }
            }
            c.runFor(15 * SECOND);
            assertNotNull(c.holder(ENGINE), "nobody holds it; outgoing links cut: " + outgoing);
            assertNotEquals(c.holder(ENGINE).id(), old.id());
            assertClean(c);
        }
    }

    /** Guards against two majorities when one instance uses an older instance list. */
    @Test
    public void instanceWithOldListIsRefused() {
        VirtualCluster c = started(16, 9, 8, 3);
        VirtualNode lagging = c.holder(ENGINE);
        lagging.listFrozen = true;
        List<ListedInstance> shorter = new ArrayList<>(c.list.instances());
        ListedInstance gone =
                shorter.stream().filter(i -> !i.ref().id().equals(lagging.id())).findFirst().get();
        shorter.remove(gone);
        c.publishList(shorter);
        c.runFor(8 * SECOND);
        assertFalse(lagging.leases.holds(ENGINE));
        assertNotNull(c.holder(ENGINE));
        lagging.listFrozen = false;
        c.runFor(3 * SECOND);
        assertEquals(c.unheldResources(), 0);
        assertClean(c);
    }

    /** Guards against a lease duration that starts at the arrival of a delayed grant. */
    @Test
    public void delayedGrantsDoNotExtendALease() {
        VirtualCluster c = started(17, 9, 8, 3);
        c.network.minDelayNanos = 900 * MS;
        c.network.maxDelayNanos = 2500 * MS;
        c.runFor(30 * SECOND);
        c.network.minDelayNanos = MS;
        c.network.maxDelayNanos = 2 * MS;
        c.runFor(10 * SECOND);
        assertEquals(c.unheldResources(), 0);
        assertClean(c);
    }

    /** Guards against fencing numbers that start over when all instances have restarted. */
    @Test
    public void fencingGrowsOverARestartOfEverything() {
        VirtualCluster c = started(18, 9, 8, 3);
        c.nodes.keySet().forEach(c::kill);
        c.runFor(1 * SECOND);
        c.startAll();
        c.runFor(8 * SECOND);
        assertEquals(c.unheldResources(), 0);
        assertClean(c);
    }

    /** Guards against a fencing number below one that the engine has already accepted. */
    @Test
    public void fencingExceedsTheNumberThatTheEngineReports() {
        VirtualCluster c = started(19, 3, 1, 1);
        VirtualNode old = c.holder(ENGINE);
        long reported = old.leases.lease(ENGINE).get().fencing() + 1_000_000_000L;
        old.leases.observeFencing(ENGINE, reported);
        assertFalse(old.leases.holds(ENGINE));
        c.runFor(2 * SECOND);
        assertTrue(c.holder(ENGINE).leases.lease(ENGINE).get().fencing() > reported);
        assertClean(c);
    }

    /** Guards against a new holder that uses a handle whose eviction order may still arrive. */
    @Test
    public void successorReceivesOpenIntents() {
        VirtualCluster c = started(20, 9, 8, 3);
        VirtualNode old = c.holder(ENGINE);
        c.runFor(61 * SECOND);
        old.leases.announceIntent(ENGINE, "a@1#7", old.effects());
        old.leases.announceIntent(ENGINE, "b@1#7", old.effects());
        assertEquals(old.acknowledgedIntents, List.of());
        c.runFor(SECOND);
        assertEquals(old.acknowledgedIntents.size(), 2);
        assertEquals(Set.copyOf(old.acknowledgedIntents), Set.of("a@1#7", "b@1#7"));
        old.leases.finishIntent(ENGINE, "b@1#7", old.effects());
        c.runFor(20 * MS);
        c.kill(old.id());
        c.runFor(8 * SECOND);
        Lease next = c.holder(ENGINE).leases.lease(ENGINE).get();
        assertEquals(next.openIntents(), Set.of("a@1#7"));
        assertTrue(next.historyKnown());
    }

    /** Guards against an eviction whose intent only a minority of the grantors has recorded. */
    @Test
    public void intentNeedsAMajority() {
        VirtualCluster c = started(21, 9, 8, 3);
        VirtualNode holder = c.holder(ENGINE);
        c.messageFilter = e -> !e.hasIntentRequest() || e.getTo().equals("n001");
        holder.leases.announceIntent(ENGINE, "a@1#7", holder.effects());
        c.runFor(SECOND);
        assertEquals(holder.acknowledgedIntents, List.of());
        c.messageFilter = e -> true;
        c.runFor(SECOND);
        assertEquals(holder.acknowledgedIntents, List.of("a@1#7"));
    }

    /** Guards against a planned shutdown that loses the holder's state or leaves a gap. */
    @Test
    public void releasedLeaseMovesWithItsHandover() {
        VirtualCluster c = started(22, 9, 8, 3);
        VirtualNode old = c.holder(ENGINE);
        HolderHandover.Builder state = HolderHandover.newBuilder();
        state.addHandlesBuilder().setHandle("a@1#7").setRunning(2);
        state.addOpenIntents("b@1#7");
        old.membership.leave(old.effects());
        old.leases.release(ENGINE, state.build(), old.effects());
        assertFalse(old.leases.holds(ENGINE));
        c.runFor(400 * MS);
        VirtualNode next = c.holder(ENGINE);
        assertNotNull(next);
        assertEquals(next.receivedHandovers.size(), 1);
        assertEquals(next.receivedHandovers.get(0).getHandles(0).getHandle(), "a@1#7");
        Lease lease = next.leases.lease(ENGINE).get();
        assertTrue(lease.historyKnown());
        assertEquals(lease.openIntents(), Set.of("b@1#7"));
        assertClean(c);
    }

    /** Guards against restarted grantors that grant a lease that a paused instance still holds. */
    @Test
    public void restartedGrantorsDoNotGrantTwice() {
        VirtualCluster c = started(23, 3, 1, 1);
        VirtualNode holder = c.holder(ENGINE);
        holder.pause(1900 * MS);
        for (int i = 0; i < 3; i++) {
            if (!VirtualCluster.id(i).equals(holder.id())) {
                c.kill(VirtualCluster.id(i));
                c.start(i);
            }
        }
        c.runFor(2500 * MS);
        assertClean(c);
        c.runFor(5 * SECOND);
        assertEquals(c.unheldResources(), 0);
    }

    /** Guards against a lease on an engine that is no longer listed. */
    @Test
    public void leaseEndsWithTheEngine() {
        VirtualCluster c = started(24, 3, 2, 1);
        VirtualNode holder = c.holder(ENGINE);
        c.list =
                new org.bronzehill.core.model.InstanceList(
                        2, c.list.instances(), c.list.upstreams().subList(1, 2));
        c.runFor(2 * SECOND);
        assertNull(c.holder(ENGINE));
        assertTrue(holder.lostLeases.contains(ENGINE));
    }

    /** Guards against a leaving instance that acquires leases. */
    @Test
    public void leavingInstanceObtainsNoLease() {
        VirtualCluster c = started(25, 3, 8, 1);
        VirtualNode leaving = c.holder(ENGINE);
        List<ListedInstance> listed = new ArrayList<>();
        for (ListedInstance i : c.list.instances()) {
            boolean it = i.ref().id().equals(leaving.id());
            listed.add(new ListedInstance(i.ref(), it ? ListedState.LEAVING : i.state()));
        }
        c.publishList(listed);
        leaving.membership.leave(leaving.effects());
        for (String r : leaving.leases.heldResources()) {
            leaving.leases.release(r, HolderHandover.getDefaultInstance(), leaving.effects());
        }
        c.runFor(4 * SECOND);
        assertEquals(leaving.leases.heldResources(), Set.of());
        assertEquals(c.unheldResources(), 0);
        assertClean(c);
    }
}
