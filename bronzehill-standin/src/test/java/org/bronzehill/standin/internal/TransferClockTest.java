package org.bronzehill.standin.internal;

import static org.testng.Assert.assertEquals;

import org.bronzehill.standin.Profile;
import org.bronzehill.standin.Profile.StoreParameters;
import org.testng.annotations.Test;

/**
 * Guards against a store that is faster or slower than specified in section 1 of docs/design.md.
 */
public class TransferClockTest {

    @Test
    public void twoTransfersStartAtOnceAndFurtherOnesAtTheRate() {
        TransferClock clock = TransferClock.of(Profile.DRIFTLESS.store(), 250);
        assertEquals(clock.begin(1000), 250.0);
        assertEquals(clock.begin(1000), 250.0);
        assertEquals(clock.begin(1000), 500.0);
        assertEquals(clock.begin(1000), 750.0);
    }

    @Test
    public void idleStoreAccumulatesNoMoreThanItsFullSpeedBurst() {
        TransferClock clock = TransferClock.of(Profile.SIALKOT.store(), 250);
        clock.begin(0);
        assertEquals(clock.begin(60_000), 250.0);
        assertEquals(Math.round(clock.begin(60_000)), Math.round(250 + 1000 / 3.0));
    }

    @Test
    public void transfersBeyondTheInFlightBoundTakeProportionallyLonger() {
        TransferClock clock = TransferClock.of(new StoreParameters(1000, 100, 4), 250);
        for (int i = 0; i < 4; i++) {
            assertEquals(clock.begin(0), 250.0);
        }
        assertEquals(clock.begin(0), 250 * 5 / 4.0);
        for (int i = 0; i < 5; i++) {
            clock.end();
        }
        assertEquals(clock.begin(1000), 250.0);
    }
}
