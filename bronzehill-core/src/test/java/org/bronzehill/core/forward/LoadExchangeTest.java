package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.node.Effect;
import org.bronzehill.protocol.generated.UpstreamLoad;
import org.testng.annotations.Test;

/**
 * Tests the load shares that one instance sends in fleets without collectors, on virtual time.
 * {@link FleetTest} covers larger fleets.
 */
public class LoadExchangeTest {

    /**
     * Largest number of shares that an instance may receive per second, from the bound of 20 kB/s
     * on control traffic.
     */
    private static final int MAX_PER_SECOND = 125;

    private static final Duration STEP = Duration.ofMillis(25);

    /**
     * Returns the times in ms at which shares were sent to one peer, and adds their lifetimes to
     * the list.
     */
    private static List<Long> shareTimes(int peers, Duration time, List<Long> validMs) {
        ForwardRig rig = new ForwardRig(2, 4, Duration.ofMillis(250), 8);
        for (int i = 0; i < peers; i++) {
            rig.join("peer" + i);
        }
        List<Long> sentAt = new ArrayList<>();
        int seen = rig.effects().size();
        for (long at = 0; at < time.toMillis(); at += STEP.toMillis()) {
            rig.open(RequestKind.IDEMPOTENT, 1);
            rig.scheduler().advance(STEP);
            for (; seen < rig.effects().size(); seen++) {
                rig.answerProbe(rig.effects().get(seen));
                if (rig.effects().get(seen) instanceof Effect.SendPeer s
                        && s.instance().equals("peer0")
                        && s.envelope().hasLoadShare()) {
                    sentAt.add(at);
                    validMs.add((long) s.envelope().getLoadShare().getValidMs());
                }
            }
        }
        return sentAt;
    }

    /** Guards against control traffic that grows with the square of the fleet size. */
    @Test
    public void receivedSharesAreBoundedAtAnyFleetSize() {
        Duration time = Duration.ofSeconds(10);
        for (int peers : new int[] {7, 15, 23}) {
            int shares = shareTimes(peers, time, new ArrayList<>()).size();
            double perSecond = (double) shares * peers / time.toSeconds();
            // The first share is sent because the peer has just joined, and is not part of the
            // rate.
            double first = (double) peers / time.toSeconds();
            assertTrue(perSecond <= MAX_PER_SECOND + first, peers + " peers: " + perSecond);
            assertTrue(shares >= 4, peers + " peers: " + shares + " shares");
        }
    }

    /** Guards against counts that are applied to another upstream. */
    @Test
    public void countsAreAppliedToTheirUpstream() {
        ForwardRig rig = new ForwardRig(2, 4, Duration.ofMillis(250), 8);
        rig.join("peer0");
        FakeTransport sent = rig.open(RequestKind.IDEMPOTENT, 1);
        rig.scheduler().advance(Duration.ofSeconds(1));
        List<UpstreamLoad> loads = new ArrayList<>();
        for (Effect e : rig.effects()) {
            if (e instanceof Effect.SendPeer s && s.envelope().hasLoadShare()) {
                loads = s.envelope().getLoadShare().getLoadsList();
            }
        }
        UpstreamTable table =
                new UpstreamTable(rig.scheduler().time(), Duration.ZERO, Duration.ZERO);
        table.put(ForwardRig.plain("p1", 100));
        table.put(ForwardRig.plain("p2", 100));
        assertEquals(loads.size(), 1);
        assertEquals(table.get(loads.get(0).getUpstreamHash()).id(), sent.last().upstream().id());
        table.remove(sent.last().upstream().id());
        assertNull(table.get(loads.get(0).getUpstreamHash()));
    }

    /** Guards against counts that expire between two shares in a large fleet. */
    @Test
    public void shareIsValidUntilTwoMoreAreDue() {
        List<Long> valid = new ArrayList<>();
        List<Long> sentAt = shareTimes(23, Duration.ofSeconds(10), valid);
        assertTrue(sentAt.size() > 10, sentAt.size() + " shares");
        for (int i = 1; i < sentAt.size(); i++) {
            long gap = sentAt.get(i) - sentAt.get(i - 1);
            assertTrue(valid.get(i - 1) >= 2 * gap, gap + " ms against " + valid.get(i - 1));
        }
    }
}
