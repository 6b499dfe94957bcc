package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when an instance counts as isolated, with probes that get no reply. */
public class ReachabilityTest {

    private VirtualScheduler scheduler;
    private Reachability reachability;
    private List<UpstreamState> listed;
    private int changes;

    /** Transport whose probes hang. */
    private static final class HangingTransport implements OrderTransport {

        @Override
        public void order(UpstreamRecord upstream, Order order, Consumer<OrderReply> reply) {}

        @Override
        public void readReport(UpstreamRecord upstream, Consumer<Option<InventoryReport>> reply) {}

        @Override
        public void probe(
                UpstreamRecord upstream, Duration timeLimit, Consumer<ProbeResult> reply) {}
    }

    @BeforeMethod
    public void create() {
        scheduler = new VirtualScheduler();
        changes = 0;
        reachability =
                new Reachability(
                        scheduler.time(), new Random(1), new HangingTransport(), () -> changes++);
        listed =
                Stream.of("p1", "p2", "p3", "p4", "p5", "p6")
                        .map(id -> new UpstreamState(ForwardRig.plain(id, 100), scheduler.time()))
                        .toList();
    }

    private void fail(int upstream) {
        reachability.onConnectFailed(listed.get(upstream), listed);
        scheduler.advance(Duration.ofMillis(50));
    }

    /** Guards against an isolation that is assumed because a part of the upstreams has failed. */
    @Test
    public void connectionsThatOpenBetweenFailuresRefuteIsolation() {
        for (int i = 0; i < 20; i++) {
            fail(i % 3);
            reachability.onOpened();
            assertFalse(reachability.isIsolated());
        }
        fail(0);
        fail(1);
        fail(2);
        assertTrue(reachability.isIsolated());
        reachability.onOpened();
        assertTrue(reachability.isIsolated());
    }

    /** Guards against an isolation that begins and ends at each tick without any upstream. */
    @Test
    public void isolationDoesNotReturnWhileNoUpstreamIsListed() {
        fail(0);
        fail(1);
        fail(2);
        assertTrue(reachability.isIsolated());
        for (int i = 0; i < 20; i++) {
            reachability.onTick(List.of());
            scheduler.advance(Duration.ofMillis(100));
        }
        assertFalse(reachability.isIsolated());
        assertEquals(changes, 2);
    }
}
