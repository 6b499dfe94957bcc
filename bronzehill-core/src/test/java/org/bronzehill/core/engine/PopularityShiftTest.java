package org.bronzehill.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.config.Policy;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.Test;

/**
 * Tests a popularity shift: hundreds of cold adapters become hot at once while the store allows 4
 * loads/s.
 */
public class PopularityShiftTest {

    private static final Policy STALL_WEIGHTED = new Policy(1, 0.5, OwnershipScope.REGION);
    private static final Policy BATCH_WEIGHTED = new Policy(0.5, 1, OwnershipScope.REGION);
    private static final int ADAPTERS = 300;
    private static final long STORE_LIMIT_MS = ADAPTERS * 1000 / 4;

    private static FleetSimulation warmedUp(boolean blind) {
        FleetSimulation w = new FleetSimulation(1, STALL_WEIGHTED, 48, blind);
        w.run(2 * STORE_LIMIT_MS, 40, "chat", 0, ADAPTERS);
        return w;
    }

    /**
     * Guards against a fleet that stays overloaded after the popularity shift that overloaded it.
     */
    @Test
    public void recoversWithinTwiceTheStoreLimit() {
        FleetSimulation w = warmedUp(false);
        long shift = w.nowMs();
        double steady = w.unstalledShare(shift - 30_000, shift);
        w.run(2 * STORE_LIMIT_MS + 30_000, 40, "chat", ADAPTERS, ADAPTERS);
        long back = shift + 2 * STORE_LIMIT_MS;
        assertTrue(w.answeredShare(shift, back) > 0.9, "answered " + w.answeredShare(shift, back));
        assertTrue(w.unstalledShare(back, back + 20_000) > 0.9 * steady);
        assertEquals(w.answeredShare(back, back + 20_000), 1.0);
    }

    /**
     * Guards against a placement that stalls no less than a load balancer that does not know which
     * adapters are resident.
     */
    @Test
    public void stallsLessThanBlindPlacement() {
        FleetSimulation aware = warmedUp(false);
        FleetSimulation blind = warmedUp(true);
        long shift = aware.nowMs();
        aware.run(STORE_LIMIT_MS, 40, "chat", ADAPTERS, ADAPTERS);
        blind.run(STORE_LIMIT_MS, 40, "chat", ADAPTERS, ADAPTERS);
        double a = aware.meanStall(shift, aware.nowMs());
        double b = blind.meanStall(shift, aware.nowMs());
        assertTrue(a < 0.5 * b, a + " against " + b);
    }

    /** Guards against policy weights that do not change how the engines batch requests. */
    @Test
    public void batchWeightFillsBatches() {
        Map<String, Double> traffic =
                new TreeMap<>(Map.of("chat", 4.0, "summary", 6.0, "plan", 8.0));
        double[] efficiency = new double[2];
        Policy[] policies = {STALL_WEIGHTED, BATCH_WEIGHTED};
        for (int i = 0; i < 2; i++) {
            FleetSimulation w = new FleetSimulation(1, policies[i], 200, false);
            w.runMix(120_000, traffic, 200);
            w.takeBatchEfficiency();
            w.runMix(60_000, traffic, 200);
            efficiency[i] = w.takeBatchEfficiency();
        }
        assertTrue(efficiency[1] > 1.5 * efficiency[0], efficiency[1] + " and " + efficiency[0]);
    }

    /** Guards against an overload that lasts after the excess traffic has ended. */
    @Test
    public void recoversAfterTwiceTheCapacity() {
        FleetSimulation w = warmedUp(false);
        long start = w.nowMs();
        w.run(30_000, 450, "chat", 0, ADAPTERS);
        long end = w.nowMs();
        w.run(40_000, 40, "chat", 0, ADAPTERS);
        assertTrue(w.answeredShare(start + 10_000, end) < 0.7, "no overload");
        assertTrue(w.answeredShare(start + 10_000, end) > 0.35, "collapse under overload");
        assertEquals(w.answeredShare(end + 12_000, end + 30_000), 1.0);
    }

    /**
     * Guards against urgent requests that miss their deadline although the load is within capacity.
     */
    @Test
    public void urgentRequestsMeetTheirDeadlineInSteadyState() {
        FleetSimulation w = warmedUp(false);
        long from = w.nowMs();
        w.run(60_000, 40, "chat", 0, ADAPTERS);
        assertTrue(
                w.outcomes.stream()
                        .filter(o -> o.submittedMs() >= from)
                        .allMatch(o -> o.code() == ResultCode.OK));
    }
}
