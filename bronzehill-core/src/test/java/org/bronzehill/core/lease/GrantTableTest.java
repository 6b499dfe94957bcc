package org.bronzehill.core.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.bronzehill.core.lease.GrantTable.Claimant;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.IntentRequest;
import org.bronzehill.protocol.generated.LeaseAnswer;
import org.bronzehill.protocol.generated.LeaseClaim;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Decisions of a single grantor. */
public class GrantTableTest {

    private static final Claimant FIRST = new Claimant("a", 1);
    private static final Claimant RESTARTED = new Claimant("a", 2);
    private static final Claimant OTHER = new Claimant("b", 1);

    private ManualTimeSource time;
    private GrantTable table;

    @BeforeMethod
    public void create() {
        time = ManualTimeSource.startingAt(Instant.EPOCH);
        table = new GrantTable(time);
        table.retain(Set.of("r"), 0);
    }

    private static LeaseClaim.Builder claim(long fencing) {
        return LeaseClaim.newBuilder().setResource("r").setFencing(fencing);
    }

    private LeaseAnswer claimAs(Claimant from, long sequence, LeaseClaim.Builder claim) {
        return table.claim(from, sequence, claim.build());
    }

    private boolean intent(Claimant from, long sequence, long fencing, String handle, boolean end) {
        return table.updateIntent(
                from,
                IntentRequest.newBuilder()
                        .setSequence(sequence)
                        .setResource("r")
                        .setFencing(fencing)
                        .setHandle(handle)
                        .setFinished(end)
                        .build());
    }

    /**
     * Guards against two holders: a restarted process must not obtain the lease while the earlier
     * process, which may only be paused, still has a valid grant.
     */
    @Test
    public void laterIncarnationWaitsForTheGrantOfTheEarlierOne() {
        assertTrue(claimAs(FIRST, 1, claim(10)).getGranted());
        assertFalse(claimAs(RESTARTED, 1, claim(11)).getGranted());
        time.advance(Duration.ofMillis(2000));
        assertTrue(claimAs(RESTARTED, 2, claim(11)).getGranted());
    }

    /** Guards against a grantor that has lost its grants and grants immediately. */
    @Test
    public void nothingIsGrantedDuringTheHoldOff() {
        table.retain(Set.of("r", "new"), GrantTable.GRANT_HOLD_OFF_NANOS);
        LeaseClaim.Builder claim = claim(10).setResource("new");
        time.advance(Duration.ofMillis(2499));
        assertFalse(claimAs(FIRST, 1, claim).getGranted());
        time.advance(Duration.ofMillis(1));
        assertTrue(claimAs(FIRST, 2, claim).getGranted());
    }

    /** Guards against a late renewal of an earlier epoch that blocks or replaces a later one. */
    @Test
    public void lateRenewalOfAnEarlierEpochIsRefused() {
        assertTrue(claimAs(FIRST, 1, claim(10)).getGranted());
        time.advance(Duration.ofSeconds(3));
        assertTrue(claimAs(OTHER, 1, claim(20)).getGranted());
        assertTrue(claimAs(OTHER, 2, claim(20).setHeld(true)).getGranted());
        assertTrue(intent(OTHER, 3, 20, "h", false));
        time.advance(Duration.ofSeconds(3));
        assertFalse(
                claimAs(FIRST, 9, claim(10).setHeld(true).setIntentsComplete(true)).getGranted());
        LeaseAnswer next = claimAs(FIRST, 10, claim(30));
        assertTrue(next.getGranted());
        assertEquals(next.getOpenIntentsList(), List.of("h"));
        assertEquals(next.getPreviousFencing(), 20);
    }

    /** Guards against refusing the holder because of a failed attempt with a higher number. */
    @Test
    public void renewalIsGrantedDespiteTheHigherNumberOfAFailedAttempt() {
        assertTrue(claimAs(OTHER, 1, claim(20)).getGranted());
        table.release(OTHER, claim(20).build());
        assertFalse(claimAs(FIRST, 1, claim(10)).getGranted());
        LeaseAnswer renewal = claimAs(FIRST, 2, claim(10).setHeld(true));
        assertTrue(renewal.getGranted());
        assertEquals(renewal.getHighestFencing(), 20);
    }

    /** Guards against a delayed message that removes or restores an intent. */
    @Test
    public void olderMessagesDoNotChangeIntents() {
        claimAs(FIRST, 1, claim(10));
        assertTrue(intent(FIRST, 5, 10, "h", false));
        claimAs(FIRST, 4, claim(10).setHeld(true).setIntentsComplete(true));
        assertEquals(claimAs(FIRST, 6, claim(10)).getOpenIntentsList(), List.of("h"));
        assertTrue(intent(FIRST, 8, 10, "h", true));
        assertFalse(intent(FIRST, 7, 10, "h", false));
        assertEquals(claimAs(FIRST, 9, claim(10)).getOpenIntentsList(), List.of());
        assertFalse(intent(OTHER, 10, 10, "h", false));
    }

    /** Guards against a grantor that reports all intents as known without a complete list. */
    @Test
    public void historyIsKnownAfterACompleteRenewal() {
        assertTrue(claimAs(FIRST, 1, claim(10)).getHistoryUnknown());
        assertTrue(claimAs(FIRST, 2, claim(10).setHeld(true)).getHistoryUnknown());
        LeaseClaim.Builder complete = claim(10).setHeld(true).setIntentsComplete(true);
        assertFalse(claimAs(FIRST, 3, complete).getHistoryUnknown());
    }
}
