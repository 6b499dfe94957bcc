package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.Effect;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.MemberUpdate;
import org.bronzehill.protocol.generated.PeerStatus;
import org.bronzehill.protocol.generated.Ping;
import org.testng.annotations.Test;

/** Tests how instances agree on the claims on engines, with links that can be cut. */
public class OrderClaimsTest {

    private static final Set<String> ENGINES = Set.of("e1", "e2", "e3", "e4");
    private static final Duration STEP = Duration.ofMillis(25);

    /** Lifetime of a share in a fleet of this size. */
    private static final Duration SHARE_LIFETIME = Duration.ofMillis(2500);

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final Map<String, Node> nodes = new LinkedHashMap<>();

    /** One instance with its membership and claims. */
    private final class Node {
        private final InstanceRef ref;
        private final Membership membership;
        private final OrderClaims claims;
        private final List<Effect> sent = new ArrayList<>();
        private boolean up = true;
        private int partition;

        private Node(String id) {
            ref = new InstanceRef(id, scheduler.time().millis(), id, 7000, "a", "r");
            membership = Membership.create(ref, scheduler.time(), new Random(id.hashCode()));
            ForwardSettings settings = TestSettings.of(id);
            claims = new OrderClaims(membership, settings, scheduler.time());
        }

        private MemberUpdate update() {
            return MemberUpdate.newBuilder()
                    .setId(ref.id())
                    .setIncarnation(ref.incarnation())
                    .setHost(ref.host())
                    .setPort(ref.port())
                    .setStatus(PeerStatus.PEER_STATUS_ALIVE)
                    .build();
        }
    }

    private void start(String... ids) {
        for (String id : ids) {
            nodes.put(id, new Node(id));
        }
        exchangeMembership();
    }

    /** Announces all instances to each other, as the seeds do at intervals. */
    private void exchangeMembership() {
        for (Node a : nodes.values()) {
            for (Node b : nodes.values()) {
                if (a != b) {
                    deliver(
                            a,
                            b,
                            Envelope.newBuilder()
                                    .setPing(Ping.newBuilder().addUpdates(a.update())));
                }
            }
        }
    }

    private void deliver(Node from, Node to, Envelope.Builder envelope) {
        if (from.up && to.up && from.partition == to.partition) {
            Envelope whole =
                    envelope.setFrom(from.ref.id())
                            .setFromIncarnation(from.ref.incarnation())
                            .build();
            to.membership.onMessage(whole, to.sent::add);
        }
    }

    /**
     * Runs all instances for a time. Optionally checks that no two of them may send orders to the
     * same engine.
     */
    private void run(Duration time, boolean checkSingle) {
        for (long left = time.toMillis(); left > 0; left -= STEP.toMillis()) {
            scheduler.advance(STEP);
            for (Node n : nodes.values()) {
                if (n.up) {
                    n.membership.onTick(n.sent::add);
                    n.claims.onTick(ENGINES);
                }
            }
            exchange();
            if (checkSingle) {
                ENGINES.forEach(e -> assertTrue(holders(e).size() <= 1, e + " " + holders(e)));
            }
        }
    }

    private void exchange() {
        for (Node n : nodes.values()) {
            List<Effect> effects = List.copyOf(n.sent);
            n.sent.clear();
            for (Effect e : effects) {
                if (e instanceof Effect.SendPeer s && nodes.containsKey(s.instance())) {
                    deliver(n, nodes.get(s.instance()), s.envelope());
                }
            }
            for (Node to : nodes.values()) {
                if (n != to && n.up && to.up && n.partition == to.partition) {
                    to.claims.onPeerClaims(
                            n.ref.id(),
                            n.claims.version(),
                            n.claims.ownClaims(),
                            scheduler.time().nanoTime() + SHARE_LIFETIME.toNanos());
                }
            }
        }
    }

    private List<String> holders(String engine) {
        return nodes.values().stream()
                .filter(n -> n.up && n.claims.fencing(engine).isDefined())
                .map(n -> n.ref.id())
                .toList();
    }

    private String holder(String engine) {
        assertEquals(holders(engine).size(), 1, engine);
        return holders(engine).get(0);
    }

    /** Guards against engines without a claim holder, and engines with two. */
    @Test
    public void eachEngineHasOneClaimHolder() {
        start("i1", "i2", "i3");
        run(Duration.ofSeconds(5), true);
        ENGINES.forEach(this::holder);
    }

    /** Guards against engines whose claim holder changes whenever an instance joins. */
    @Test
    public void claimsStayWhenInstancesJoin() {
        start("i1", "i2");
        run(Duration.ofSeconds(5), true);
        Map<String, String> before = new LinkedHashMap<>();
        ENGINES.forEach(e -> before.put(e, holder(e)));
        start("i3", "i4");
        run(Duration.ofSeconds(5), true);
        ENGINES.forEach(e -> assertEquals(holder(e), before.get(e)));
    }

    @Test
    public void claimsOfDeadInstanceAreTakenOver() {
        start("i1", "i2", "i3");
        run(Duration.ofSeconds(5), true);
        String dead = holder("e1");
        long fencing = nodes.get(dead).claims.fencing("e1").get();
        nodes.get(dead).up = false;
        run(Duration.ofSeconds(6), true);
        assertFalse(holder("e1").equals(dead));
        assertTrue(nodes.get(holder("e1")).claims.fencing("e1").get() > fencing);
    }

    /**
     * Guards against two instances that both keep sending orders after their partition has healed.
     */
    @Test
    public void oneClaimRemainsAfterPartition() {
        start("i1", "i2", "i3");
        run(Duration.ofSeconds(5), true);
        nodes.get("i1").partition = 1;
        run(Duration.ofSeconds(8), false);
        nodes.get("i1").partition = 0;
        exchangeMembership();
        run(Duration.ofSeconds(6), false);
        ENGINES.forEach(this::holder);
    }

    @Test
    public void stoppedInstanceReleasesItsClaims() {
        start("i1", "i2");
        run(Duration.ofSeconds(5), true);
        Node leaving = nodes.get(holder("e1"));
        leaving.claims.releaseAll("stop");
        leaving.membership.leave(leaving.sent::add);
        run(Duration.ofSeconds(3), true);
        assertFalse(holder("e1").equals(leaving.ref.id()));
    }
}
