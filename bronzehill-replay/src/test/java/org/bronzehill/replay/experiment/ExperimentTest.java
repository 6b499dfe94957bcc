package org.bronzehill.replay.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.generate.Scenario;
import org.bronzehill.replay.generate.TraceGenerator;
import org.bronzehill.replay.harness.Replay;
import org.bronzehill.replay.trace.Trace;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against bounds that a policy can beat, against policies that run on different traces, and
 * against results that omit a policy or bound.
 */
public class ExperimentTest {

    @DataProvider
    Object[][] deployments() {
        return new Object[][] {{"driftless-small", 4.0}, {"sialkot-small", 12.0}};
    }

    @Test(dataProvider = "deployments")
    public void noPolicyBeatsTheBounds(String deployment, double rate) {
        Trace trace =
                TraceGenerator.generate(
                        Deployment.named(deployment),
                        new TraceGenerator.Workload(rate, 1.0, 40, 20),
                        List.of(Scenario.POPULARITY_SHIFT),
                        4);
        Experiment.Result r = Experiment.run(trace, Replay.WARM_UP_MS);
        assertEquals(r.policies().size(), 4);
        for (PolicyResult p : r.policies()) {
            long stall = p.stallPercentile(0.95, r.interactiveModelRequests());
            assertTrue(stall >= r.stallBound(), p.name() + " stalls " + stall);
            assertTrue(stall >= r.stallBoundWithoutPrefetch(), p.name() + " stalls " + stall);
            assertTrue(p.batchEfficiency() <= r.batchBound(), p.name());
        }
        String table = ReportTable.text(r, Targets.check(r));
        assertTrue(table.contains("rendezvous") && Plot.svg(r).endsWith("</svg>\n"), table);
        assertTrue(ReportTable.csv(r).contains(",bound,"));
    }

    @Test
    public void stallBoundAccountsForLoadRateOfWeightStore() {
        // 40 adapters are requested once each within 1 s of a cold start. The store allows a burst
        // of 2 loads and then 4 loads/s, so at most 6 adapters can be loaded in that second, and
        // it takes at least 8 s until 95 % of the requests have their adapter.
        List<RequestOutcome> requests =
                java.util.stream.IntStream.range(0, 40)
                        .mapToObj(
                                i ->
                                        new RequestOutcome(
                                                "route-chat",
                                                "adapter-" + i,
                                                "caller-0",
                                                i * 25_000_000L,
                                                0,
                                                60_000_000_000L,
                                                0,
                                                true,
                                                null))
                        .toList();
        Bound bound = Bound.create(requests, 400, Deployment.named("driftless").limits(), true);
        long p95 = bound.stallPercentile(0.95);
        assertTrue(p95 > 4_000_000_000L && p95 <= 10_000_000_000L, "p95 bound " + p95);
    }
}
