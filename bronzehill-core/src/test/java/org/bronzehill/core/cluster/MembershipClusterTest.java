package org.bronzehill.core.cluster;

import static org.bronzehill.core.cluster.VirtualCluster.MS;
import static org.bronzehill.core.cluster.VirtualCluster.SECOND;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import org.bronzehill.core.membership.PeerStatus;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.MemberUpdate;
import org.testng.annotations.Test;

/** Probing, suspicion, refutation and removal of instances. */
public class MembershipClusterTest {

    private static final String PEER = "n004";

    private static VirtualCluster started(long seed, int instances) {
        return LeaseClusterTest.started(seed, instances, 2, 3);
    }

    private static void assertStatus(VirtualCluster c, String id, PeerStatus expected) {
        for (VirtualNode n : c.running()) {
            if (!n.id().equals(id)) {
                assertEquals(n.membership.peer(id).get().status(), expected, "seen by " + n.id());
            }
        }
    }

    /** Guards against a killed instance that stays alive in the table or is never removed. */
    @Test
    public void killedInstanceBecomesDeadAndUnlistedOneIsRemoved() {
        VirtualCluster c = started(41, 9);
        c.kill(PEER);
        c.runFor(7 * SECOND);
        assertStatus(c, PEER, PeerStatus.DEAD);
        List<ListedInstance> rest = new ArrayList<>(c.list.instances());
        rest.removeIf(i -> i.ref().id().equals(PEER));
        c.publishList(rest);
        c.runFor(9 * SECOND);
        c.running().forEach(n -> assertTrue(n.membership.peer(PEER).isEmpty(), n.id()));
    }

    /** Guards against a suspicion that the instance cannot refute after a pause. */
    @Test
    public void pausedInstanceRecoversInTheSameIncarnation() {
        VirtualCluster c = started(42, 9);
        c.nodes.get(PEER).pause(8 * SECOND);
        c.runFor(7 * SECOND);
        assertStatus(c, PEER, PeerStatus.DEAD);
        c.runFor(6 * SECOND);
        assertStatus(c, PEER, PeerStatus.ALIVE);
        assertEquals(c.nodes.get(PEER).membership.live().size(), 9);
    }

    /** Guards against an instance that suspects its peers because of its own pause. */
    @Test
    public void pausedInstanceSuspectsNoPeer() {
        VirtualCluster c = started(43, 9);
        AtomicLong suspicions = new AtomicLong();
        c.messageFilter =
                e -> {
                    boolean bad =
                            e.getFrom().equals(PEER)
                                    && e.getPing().getUpdatesList().stream()
                                            .anyMatch(u -> u.getStatusValue() == 3);
                    suspicions.addAndGet(bad ? 1 : 0);
                    return true;
                };
        for (int i = 0; i < 10; i++) {
            c.nodes.get(PEER).pause(900 * MS);
            c.runFor(2 * SECOND);
        }
        assertEquals(suspicions.get(), 0);
    }

    /** Guards against treating a slow instance as dead. */
    @Test
    public void lateAcksMakeAnInstanceSlow() {
        VirtualCluster c = started(44, 9);
        c.network.minDelayNanos = 160 * MS;
        c.network.maxDelayNanos = 180 * MS;
        c.runFor(8 * SECOND);
        assertStatus(c, PEER, PeerStatus.SLOW);
        assertEquals(c.nodes.get("n000").membership.live().size(), 9);
        c.network.minDelayNanos = MS;
        c.network.maxDelayNanos = 2 * MS;
        c.runFor(30 * SECOND);
        assertStatus(c, PEER, PeerStatus.ALIVE);
    }

    /** Guards against a single broken path that makes the whole fleet suspect an instance. */
    @Test
    public void instanceReachedOnlyThroughOthersIsSlow() {
        VirtualCluster c = started(45, 9);
        c.network.block("n000", PEER);
        c.network.block(PEER, "n000");
        c.runFor(20 * SECOND);
        assertEquals(c.nodes.get("n000").membership.peer(PEER).get().status(), PeerStatus.SLOW);
        assertEquals(c.nodes.get("n001").membership.peer(PEER).get().status(), PeerStatus.ALIVE);
    }

    /** Guards against suspecting a working instance whose open connection has stalled. */
    @Test
    public void silentConnectionIsReplaced() {
        VirtualCluster c = started(46, 9);
        for (String other : new TreeSet<>(c.nodes.keySet())) {
            c.network.silenceOpenConnection(other, PEER);
        }
        c.runFor(20 * SECOND);
        assertStatus(c, PEER, PeerStatus.ALIVE);
        c.running().forEach(n -> assertEquals(n.membership.live().size(), 9, n.id()));
    }

    /** Guards against two rows for one instance, and against a restarted one that stays dead. */
    @Test
    public void laterIncarnationReplacesTheEarlierOne() {
        VirtualCluster c = started(47, 9);
        VirtualNode old = c.nodes.get(PEER);
        c.kill(PEER);
        c.runFor(3 * SECOND);
        VirtualNode next = c.start(4);
        c.runFor(6 * SECOND);
        assertStatus(c, PEER, PeerStatus.ALIVE);
        for (VirtualNode n : c.running()) {
            if (n != next) {
                long seen = n.membership.peer(PEER).get().ref().incarnation();
                assertEquals(seen, next.ref.incarnation());
            }
        }
        assertTrue(next.ref.incarnation() > old.ref.incarnation());
    }

    /** Guards against a process that keeps its leases after another process took over its id. */
    @Test
    public void replacedProcessHoldsNoLease() {
        VirtualCluster c = LeaseClusterTest.started(51, 1, 1, 1);
        VirtualNode old = c.nodes.get("n000");
        assertFalse(old.leases.heldResources().isEmpty());
        MemberUpdate update =
                MemberUpdate.newBuilder()
                        .setId("n000")
                        .setIncarnation(old.ref.incarnation() + 1)
                        .build();
        Envelope.Builder ping = Envelope.newBuilder().setFrom("n001");
        ping.getPingBuilder().addUpdates(update);
        old.receive(ping.build());
        assertTrue(old.membership.superseded());
        assertTrue(old.leases.heldResources().isEmpty());
    }

    /** Guards against new work for an instance that has announced its planned shutdown. */
    @Test
    public void leavingInstanceIsNotLive() {
        VirtualCluster c = started(48, 9);
        VirtualNode leaving = c.nodes.get(PEER);
        leaving.membership.leave(leaving.effects());
        c.runFor(100 * MS);
        assertStatus(c, PEER, PeerStatus.LEAVING);
        c.running().forEach(n -> assertEquals(n.membership.live().size(), 8, n.id()));
        c.runFor(10 * SECOND);
        assertStatus(c, PEER, PeerStatus.LEAVING);
    }

    /** Guards against a message rate per instance that grows with the size of the fleet. */
    @Test
    public void messagesPerInstanceAreBounded() {
        for (int n : new int[] {9, 50, 150}) {
            VirtualCluster c = new VirtualCluster(49, n, 0, 3);
            c.service.publish(c.configuration(1));
            c.startAll();
            c.runFor(10 * SECOND);
            long messages = c.running().stream().mapToLong(x -> x.sentMessages).sum();
            c.runFor(20 * SECOND);
            messages = c.running().stream().mapToLong(x -> x.sentMessages).sum() - messages;
            // Two probes per second, as many acks, and the messages for the lease on one budget.
            double each = messages / 20.0 / n;
            assertTrue(each < 12, "messages per instance and second: " + each + " of " + n);
        }
    }

    /** Guards against a broken connection that is not probed before the next regular round. */
    @Test
    public void unreachableInstanceIsProbedAtOnce() {
        VirtualCluster c = started(50, 9);
        c.kill(PEER);
        VirtualNode node = c.nodes.get("n000");
        node.membership.onUnreachable(PEER, node.effects());
        c.runFor(900 * MS);
        assertFalse(node.membership.peer(PEER).get().status().isLive());
    }
}
