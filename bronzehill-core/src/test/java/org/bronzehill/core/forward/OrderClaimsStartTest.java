package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.Leaving;
import org.bronzehill.protocol.generated.MemberUpdate;
import org.bronzehill.protocol.generated.PeerStatus;
import org.bronzehill.protocol.generated.Ping;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the first claims of an instance that starts slowly or before the others, on virtual time.
 */
public class OrderClaimsStartTest {

    private static final Set<String> ENGINES = Set.of("e1", "e2");
    private static final Duration STEP = Duration.ofMillis(100);

    private VirtualScheduler scheduler;
    private Membership members;
    private OrderClaims claims;

    @BeforeMethod
    public void create() {
        scheduler = new VirtualScheduler();
        InstanceRef self = new InstanceRef("i1", 1, "10.0.0.1", 7000, "a", "r");
        members = Membership.create(self, scheduler.time(), new Random(1));
        claims = new OrderClaims(members, TestSettings.of("i1"), scheduler.time());
    }

    private void run(Duration time) {
        for (long left = time.toMillis(); left > 0; left -= STEP.toMillis()) {
            claims.onTick(ENGINES);
            scheduler.advance(STEP);
        }
    }

    /**
     * Guards against an instance that claims every engine because it knows no other instance yet.
     */
    @Test
    public void loneInstanceWaitsLongerBeforeClaiming() {
        scheduler.advance(Duration.ofSeconds(5));
        run(Duration.ofMillis(2400));
        assertEquals(claims.ownClaims().size(), 0);
        run(Duration.ofSeconds(1));
        assertEquals(claims.ownClaims().size(), 2);
    }

    /** Announces another instance, or a later start of it. */
    private void join(String id, long incarnation) {
        MemberUpdate update =
                MemberUpdate.newBuilder()
                        .setId(id)
                        .setIncarnation(incarnation)
                        .setHost("10.0.0.2")
                        .setPort(7001)
                        .setStatus(PeerStatus.PEER_STATUS_ALIVE)
                        .build();
        receive(
                id,
                incarnation,
                Envelope.newBuilder().setPing(Ping.newBuilder().addUpdates(update)));
    }

    private void receive(String from, long incarnation, Envelope.Builder message) {
        members.onMessage(
                message.setFrom(from).setFromIncarnation(incarnation).build(), effect -> {});
    }

    /**
     * All other instances restart while this one is suspended. When it resumes, it has received
     * their departures but nothing from their successors yet. Guards against claims on the engines
     * of live instances, which then load adapters for two holders.
     */
    @Test
    public void resumedInstanceHearsTheOthersBeforeItClaims() {
        join("i2", 1);
        claims.onPeerClaims("i2", 1, Map.of("e1", 5L, "e2", 6L), Long.MAX_VALUE / 2);
        run(Duration.ofSeconds(4));
        assertEquals(claims.ownClaims().size(), 0);
        scheduler.advance(Duration.ofSeconds(4));
        claims.onProcessPause();
        receive("i2", 1, Envelope.newBuilder().setLeaving(Leaving.getDefaultInstance()));
        claims.onPeerClaims("i2", 2, Map.of(), scheduler.time().nanoTime());
        run(Duration.ofMillis(900));
        assertEquals(claims.ownClaims().size(), 0);
        join("i2", 2);
        long lifetime = Duration.ofMillis(2500).toNanos();
        claims.onPeerClaims(
                "i2", 3, Map.of("e1", 7L, "e2", 8L), scheduler.time().nanoTime() + lifetime);
        run(Duration.ofSeconds(2));
        assertEquals(claims.ownClaims().size(), 0);
    }

    /**
     * All instances have been lost and start again. Guards against engines that stay without orders
     * although every known instance has sent its claims.
     */
    @Test
    public void instanceThatHasHeardAllOthersClaimsSoon() {
        join("i2", 1);
        claims.onPeerClaims("i2", 1, Map.of(), Long.MAX_VALUE / 2);
        run(Duration.ofMillis(300));
        assertEquals(claims.ownClaims().size(), 0);
        run(Duration.ofMillis(500));
        int early = claims.ownClaims().size();
        assertTrue(early > 0);
        run(Duration.ofSeconds(3));
        assertEquals(claims.ownClaims().size(), early);
    }

    /** Guards against claims on the engines of a known instance whose claims have not arrived. */
    @Test
    public void instanceThatHasNotHeardAllOthersWaits() {
        join("i2", 1);
        run(Duration.ofMillis(900));
        assertEquals(claims.ownClaims().size(), 0);
    }

    /** Guards against engines that stay without orders after a pause of the last instance. */
    @Test
    public void resumedInstanceClaimsAgainWhenItHearsNobody() {
        run(Duration.ofSeconds(4));
        claims.onProcessPause();
        assertEquals(claims.ownClaims().size(), 0);
        run(Duration.ofSeconds(5));
        assertEquals(claims.ownClaims().size(), 2);
    }

    @Test
    public void versionGrowsWithEachChangeOfTheClaims() {
        long before = claims.version();
        run(Duration.ofSeconds(4));
        long claimed = claims.version();
        assertTrue(claimed > before);
        run(Duration.ofSeconds(1));
        assertEquals(claims.version(), claimed);
        claims.releaseAll("stop");
        assertTrue(claims.version() > claimed);
    }

    /** Guards against fencing numbers that stay below that of a holder whose clock was ahead. */
    @Test
    public void claimAfterARefusalIsAboveAClockThatWasAhead() {
        run(Duration.ofSeconds(4));
        long refused = claims.fencing("e1").get();
        long ahead = refused + (Duration.ofSeconds(8).toMillis() << 12);
        claims.onFenced("e1");
        run(Duration.ofSeconds(5));
        assertTrue(claims.fencing("e1").get() > ahead);
    }
}
