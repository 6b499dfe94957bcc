package org.bronzehill.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the scheduler's invariants under random schedules of requests and faults. */
public class RandomScheduleTest {

    private static final int SEEDS = 40;
    private static final long MILLIS = 60_000;

    /** Allows the eviction of every resident handle at any time, also while it is in use. */
    private static final EvictionRule UNSAFE =
            new EvictionRule() {
                @Override
                public boolean mayEvict(AdapterHandle handle, boolean longestDeadlinePassed) {
                    return handle.status() == AdapterHandle.Status.RESIDENT;
                }

                @Override
                public boolean mayOrder(AdapterHandle handle) {
                    return true;
                }
            };

    /**
     * Protects handles in use, but allows the eviction of handles of earlier epochs without the
     * takeover wait.
     */
    private static final EvictionRule WITHOUT_TAKEOVER_WAIT =
            (h, ended) -> h.status() == AdapterHandle.Status.RESIDENT && h.uses() == 0;

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    /**
     * Guards properties P2 (an adapter that serves a request is never evicted), P4 (a request
     * reported as not run has not run) and P6 (a leaving engine gets no new work), exactly one
     * result for each request, and use counts that do not become negative.
     */
    @Test(dataProvider = "seeds")
    public void invariantsHoldUnderFaults(long seed) {
        EngineSimulation w = new EngineSimulation(seed, EvictionRule.SAFE, 1);
        w.run(MILLIS);
        assertEquals(w.violations, List.of());
        assertTrue(w.count(ResultCode.OK) > 0);
    }

    /** Guards against schedules that contain no loads and evictions and so test nothing. */
    @Test
    public void schedulesLoadAndEvict() {
        EngineSimulation w = new EngineSimulation(1, EvictionRule.SAFE, 0);
        w.run(MILLIS);
        assertEquals(w.violations, List.of());
        assertTrue(w.f.orders(OrderKind.EVICT).size() > 10);
        assertTrue(w.count(ResultCode.OK) > w.submittedCount() / 2);
    }

    /** Shows that the checks fail when handles in use are evicted. */
    @Test
    public void checksFailWithAnUnsafeEvictionRule() {
        EngineSimulation w = new EngineSimulation(1, UNSAFE, 0);
        w.run(MILLIS);
        assertTrue(
                w.violations.stream().anyMatch(b -> b.startsWith("evict order for")),
                w.violations.toString());
    }

    /**
     * Shows that the checks fail when handles of earlier epochs are evicted without the takeover
     * wait.
     */
    @Test
    public void checksFailWithoutTheWaitAfterATakeover() {
        boolean found = false;
        for (long seed = 0; seed < SEEDS && !found; seed++) {
            EngineSimulation w = new EngineSimulation(seed, WITHOUT_TAKEOVER_WAIT, 4);
            w.run(MILLIS);
            found = w.violations.stream().anyMatch(b -> b.contains("evict"));
        }
        assertTrue(found);
    }
}
