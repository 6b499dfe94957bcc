package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import java.util.Set;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the first claims of an instance that starts slowly or before the others, on virtual time.
 */
public class OrderClaimsStartTest {

    private static final Set<String> ENGINES = Set.of("e1", "e2");
    private static final Duration STEP = Duration.ofMillis(100);

    private VirtualScheduler scheduler;
    private OrderClaims claims;

    @BeforeMethod
    public void create() {
        scheduler = new VirtualScheduler();
        InstanceRef self = new InstanceRef("i1", 1, "10.0.0.1", 7000, "a", "r");
        Membership members = Membership.create(self, scheduler.time(), new Random(1));
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
