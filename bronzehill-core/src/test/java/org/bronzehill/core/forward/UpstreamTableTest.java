package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests records of upstreams that lapse, return, restart and drain. */
public class UpstreamTableTest {

    private VirtualScheduler scheduler;
    private UpstreamTable table;

    @BeforeMethod
    public void createTable() {
        scheduler = new VirtualScheduler();
        table = new UpstreamTable(scheduler.time(), Duration.ofSeconds(2), Duration.ZERO);
    }

    /** Guards against new requests to an upstream that was removed. */
    @Test
    public void recordThatGoesIsDroppedAtOnce() {
        table.put(ForwardRig.plain("p1", 1));
        scheduler.advance(Duration.ofSeconds(5));
        assertEquals(table.remove("p1").size(), 1);
        assertTrue(table.available(ForwardRig.PLAIN).isEmpty());
    }

    /** Guards against an outage of the store that removes live upstreams. */
    @Test
    public void recordThatLapsedDuringAnOutageMayComeBack() {
        table.put(ForwardRig.plain("p1", 1));
        scheduler.advance(Duration.ofSeconds(5));
        table.onStoreRecovered();
        table.remove("p1");
        assertEquals(table.available(ForwardRig.PLAIN).size(), 1);
        scheduler.advance(Duration.ofSeconds(1));
        table.put(ForwardRig.plain("p1", 1));
        scheduler.advance(Duration.ofSeconds(3));
        assertTrue(table.onTick().isEmpty());
    }

    /** Guards against requests to an upstream that leaves shortly after a presumed outage. */
    @Test
    public void upstreamThatLeavesAfterAnOutageGetsNoRequests() {
        table.put(ForwardRig.plain("p1", 1));
        table.put(ForwardRig.plain("p2", 1));
        table.put(ForwardRig.plain("p3", 1));
        scheduler.advance(Duration.ofSeconds(5));
        table.onStoreRecovered();
        table.remove("p1");
        assertEquals(table.available(ForwardRig.PLAIN), List.of(table.get("p2"), table.get("p3")));
        table.put(ForwardRig.plain("p1", 1));
        assertEquals(table.available(ForwardRig.PLAIN).size(), 3);
    }

    /** Guards against an outage in which most records lapse and the rest gets all requests. */
    @Test
    public void mostUpstreamsMayLapseInAnOutage() {
        table.put(ForwardRig.plain("p1", 1));
        table.put(ForwardRig.plain("p2", 1));
        table.put(ForwardRig.plain("p3", 1));
        scheduler.advance(Duration.ofSeconds(5));
        table.onStoreRecovered();
        table.remove("p1");
        table.remove("p2");
        assertEquals(table.available(ForwardRig.PLAIN).size(), 3);
    }

    /**
     * Guards against requests to the address of an upstream that has left, and that an older copy
     * of the store lists again.
     */
    @Test
    public void upstreamThatHasLeftIsNotListedFromACopy() {
        table.put(ForwardRig.plain("p1", 1));
        scheduler.advance(Duration.ofSeconds(5));
        table.remove("p1");
        table.onStoreRestored();
        table.replaceAll(List.of(ForwardRig.plain("p1", 1), ForwardRig.plain("p2", 1)));
        assertEquals(table.available(ForwardRig.PLAIN), List.of(table.get("p2")));
        table.put(ForwardRig.plain("p1", 1));
        assertEquals(table.available(ForwardRig.PLAIN).size(), 2);
    }

    /** Guards against requests to an upstream that was draining after the copy was made. */
    @Test
    public void drainingUpstreamIsNotReadyFromACopy() {
        table.put(draining("p1"));
        scheduler.advance(Duration.ofSeconds(5));
        table.onStoreRestored();
        table.replaceAll(List.of(ForwardRig.plain("p1", 1)));
        assertTrue(table.available(ForwardRig.PLAIN).isEmpty());
        table.put(ForwardRig.plain("p1", 1));
        assertEquals(table.available(ForwardRig.PLAIN).size(), 1);
    }

    /** Guards against the earlier incarnation of an upstream that restarted after the copy. */
    @Test
    public void earlierIncarnationIsNotListedFromACopy() {
        table.put(ForwardRig.plain("p1", 2));
        scheduler.advance(Duration.ofSeconds(5));
        table.onStoreRecovered();
        table.onStoreRestored();
        table.replaceAll(List.of(ForwardRig.plain("p1", 1)));
        assertEquals(table.get("p1").upstreamRecord().startedAtMs(), 2);
        scheduler.advance(Duration.ofMillis(2100));
        assertEquals(table.onTick().size(), 1);
    }

    /** Guards against a live upstream that is never used because its record does not change. */
    @Test
    public void recordThatStaysIsUsedInTheEnd() {
        table.put(ForwardRig.plain("p1", 1));
        scheduler.advance(Duration.ofSeconds(5));
        table.remove("p1");
        table.onStoreRestored();
        table.replaceAll(List.of(ForwardRig.plain("p1", 1)));
        assertTrue(table.takeDueRecords().isEmpty());
        scheduler.advance(OutdatedRecords.HOLD_TIME);
        assertEquals(table.takeDueRecords(), List.of(ForwardRig.plain("p1", 1)));
    }

    /** Guards against an upstream of the copy that is listed after its record is gone. */
    @Test
    public void recordThatGoesIsNeverUsed() {
        table.put(ForwardRig.plain("p1", 1));
        scheduler.advance(Duration.ofSeconds(5));
        table.remove("p1");
        table.onStoreRestored();
        table.replaceAll(List.of(ForwardRig.plain("p1", 1)));
        table.remove("p1");
        scheduler.advance(OutdatedRecords.HOLD_TIME);
        assertTrue(table.takeDueRecords().isEmpty());
    }

    /** Guards against records that are not used although the store was not restored. */
    @Test
    public void upstreamThatReturnsInTheSameEraIsListed() {
        table.put(ForwardRig.plain("p1", 1));
        scheduler.advance(Duration.ofSeconds(5));
        table.remove("p1");
        table.replaceAll(List.of(ForwardRig.plain("p1", 1)));
        assertEquals(table.available(ForwardRig.PLAIN).size(), 1);
    }

    private static UpstreamRecord draining(String id) {
        UpstreamRecord r = ForwardRig.plain(id, 1);
        return new UpstreamRecord(
                r.id(),
                r.startedAtMs(),
                r.service(),
                r.host(),
                r.port(),
                r.dataCentre(),
                r.slots(),
                r.softwareVersion(),
                true,
                r.models(),
                r.adapters());
    }

    /** Guards against a second outage in whose grace period a live upstream is removed. */
    @Test
    public void secondOutageBeginsTheGracePeriodAnew() {
        table.put(ForwardRig.plain("p1", 1));
        table.onStoreRecovered();
        table.remove("p1");
        scheduler.advance(Duration.ofMillis(1500));
        table.onStoreRecovered();
        table.replaceAll(List.of());
        scheduler.advance(Duration.ofMillis(1500));
        assertTrue(table.onTick().isEmpty());
        scheduler.advance(Duration.ofMillis(600));
        assertEquals(table.onTick().size(), 1);
    }

    @Test
    public void recordThatDoesNotComeBackIsDropped() {
        table.put(ForwardRig.plain("p1", 1));
        scheduler.advance(Duration.ofSeconds(5));
        table.onStoreRecovered();
        table.remove("p1");
        scheduler.advance(Duration.ofMillis(2100));
        assertEquals(table.onTick().size(), 1);
    }

    /** Guards against keeping the state of an earlier incarnation under the same identifier. */
    @Test
    public void restartUnderTheSameIdentifierIsANewUpstream() {
        table.put(ForwardRig.plain("p1", 1));
        UpstreamState first = table.get("p1");
        assertEquals(table.put(ForwardRig.plain("p1", 2)), List.of(first));
        assertNotSame(table.get("p1"), first);
    }
}
