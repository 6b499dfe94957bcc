package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/** Tests records of upstreams that lapse, return, restart and drain. */
public class UpstreamTableTest {

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final UpstreamTable table = new UpstreamTable(scheduler.time(), Duration.ofSeconds(2));

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
