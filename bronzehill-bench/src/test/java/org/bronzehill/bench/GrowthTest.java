package org.bronzehill.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.core.placement.RouteQuery;
import org.bronzehill.core.placement.Router;
import org.bronzehill.replay.generate.Deployment;
import org.testng.annotations.Test;

/** Guards against costs that grow faster with the size of a deployment than the design allows. */
public class GrowthTest {

    private static final int CALLS = 20_000;

    /** A decision allocates about 240 bytes at every deployment size. */
    private static final double MAX_BYTES_PER_ROUTE = 1000;

    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private static double bytesPerRoute(int adapters, int engines) {
        Router router = Fixtures.router(adapters, engines);
        RouteQuery[] queries = new RouteQuery[64];
        for (int i = 0; i < queries.length; i++) {
            queries[i] = RouteQuery.of(Deployment.adapterName(i * 40), "route-chat", i);
        }
        double before = 0;
        for (int i = 0; i < 2 * CALLS; i++) {
            if (i == CALLS) {
                before = THREADS.getCurrentThreadAllocatedBytes();
            }
            router.route(queries[i % queries.length]);
        }
        return (THREADS.getCurrentThreadAllocatedBytes() - before) / CALLS;
    }

    @Test
    public void allocationPerRouteIsIndependentOfDeploymentSize() {
        double small = bytesPerRoute(3000, 8);
        double large = bytesPerRoute(90_000, 600);
        assertTrue(small < MAX_BYTES_PER_ROUTE, "bytes per decision: " + small);
        assertTrue(large < 2 * small, "bytes per decision: " + small + " and " + large);
    }

    @Test
    public void messagesPerInstanceAreIndependentOfFleetSize() {
        double small = MessageCounts.messagesPerInstance(9);
        double large = MessageCounts.messagesPerInstance(380);
        assertTrue(large <= 1.1 * small, "messages per instance: " + small + " and " + large);
    }

    @Test
    public void changingOneAdapterReplacesOneShard() {
        for (int adapters : new int[] {3000, 90_000}) {
            Fixtures.Changes changes = new Fixtures.Changes(adapters);
            ConfigurationStore store = ConfigurationStore.create();
            store.offer(changes.first());
            ConfigurationImage next = changes.next();
            assertEquals(next.shards().size(), 1);
            assertEquals(store.offer(next).get(), ConfigurationStore.OfferResult.ACCEPTED);
        }
    }

    @Test
    public void incrementalChangeAllocatesAFractionOfAFullRead() {
        Fixtures.Changes changes = new Fixtures.Changes(90_000);
        ConfigurationStore store = ConfigurationStore.create();
        long start = THREADS.getCurrentThreadAllocatedBytes();
        store.offer(changes.first());
        long full = THREADS.getCurrentThreadAllocatedBytes() - start;
        store.offer(changes.next());
        start = THREADS.getCurrentThreadAllocatedBytes();
        store.offer(changes.next());
        long change = THREADS.getCurrentThreadAllocatedBytes() - start;
        assertTrue(20 * change < full, "bytes: " + change + " of " + full);
    }
}
