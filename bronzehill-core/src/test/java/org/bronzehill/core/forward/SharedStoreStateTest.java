package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests the positions in the store that instances report to each other. */
public class SharedStoreStateTest {

    private static final StorePosition BEFORE = new StorePosition(1, 75);
    private static final StorePosition RETURNED = new StorePosition(2, 40);

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final SharedStoreState state = new SharedStoreState(scheduler.time());

    /** Guards against a late digest of the earlier era that counts as news. */
    @Test
    public void digestOfTheEarlierEraIsNoNews() {
        state.onDigest(BEFORE, true, true);
        state.onRead(BEFORE, true);
        state.onDigest(RETURNED, true, true);
        state.onDigest(new StorePosition(1, 76), true, true);
        assertEquals(state.newestPeerPosition(), RETURNED);
        state.onRead(new StorePosition(2, 41), true);
        assertEquals(state.newestPosition(), new StorePosition(2, 41));
    }

    /** Guards against changes that are not read because an instance reports them without an era. */
    @Test
    public void digestWithoutAnEraCountsForTheKnownOne() {
        state.onRead(RETURNED, true);
        state.onDigest(new StorePosition(0, 41), true, true);
        assertEquals(state.newestPeerPosition(), new StorePosition(2, 41));
    }

    /** Guards against an age that does not tell whether news has been read. */
    @Test
    public void contentsAgeWhileNewsIsNotRead() {
        state.onRead(BEFORE, true);
        scheduler.advance(Duration.ofMillis(400));
        state.onDigest(BEFORE, true, true);
        assertEquals(state.millisSinceCurrent(), 0);
        scheduler.advance(Duration.ofMillis(300));
        state.onDigest(new StorePosition(1, 76), true, true);
        scheduler.advance(Duration.ofMillis(300));
        state.onDigest(new StorePosition(1, 76), true, true);
        assertEquals(state.millisSinceCurrent(), 600);
        state.onRead(new StorePosition(1, 76), true);
        assertEquals(state.millisSinceCurrent(), 0);
    }
}
