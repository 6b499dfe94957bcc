package org.bronzehill.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationBase;
import org.bronzehill.config.Limits;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.config.Policy;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.ResidentAdapter;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the choice of engines when summaries are late or missing. */
public class RouterTest {

    private ManualTimeSource time;
    private Policy policy;
    private String holder;
    private Set<String> unreachable;
    private long sequence;

    @BeforeMethod
    public void setUp() {
        time = ManualTimeSource.startingAt(Instant.EPOCH);
        policy = new Policy(1, 0.5, OwnershipScope.REGION);
        holder = "h";
        unreachable = new HashSet<>();
    }

    private Router router(int seed, int engines) {
        HolderDirectory directory =
                new HolderDirectory() {
                    @Override
                    public Option<String> holderOf(String engine) {
                        return holder.isEmpty() ? Option.none() : Option.some(holder);
                    }

                    @Override
                    public boolean isReachable(String instance) {
                        return !unreachable.contains(instance);
                    }

                    @Override
                    public boolean isImpaired(String instance) {
                        return false;
                    }

                    @Override
                    public String region() {
                        return "r1";
                    }
                };
        List<AdapterSpec> adapters = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            adapters.add(new AdapterSpec("a" + i, "base", "g", Map.of(1, "w"), Map.of("*", 1)));
        }
        ConfigurationBase base =
                new ConfigurationBase(Set.of("base"), Map.of(), Map.of(), Limits.DEFAULTS, policy);
        Configuration configuration = Configuration.of(1, base, adapters);
        Router router = Router.create(directory, () -> configuration, time, new Random(seed));
        router.onInstanceList(list(engines, ""));
        return router;
    }

    private static InstanceList list(int engines, String leaving) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            String id = "e" + i;
            upstreams.add(
                    new Upstream(
                            id,
                            UpstreamKind.ENGINE,
                            URI.create("http://127.0.0.1:1"),
                            "dc1",
                            "r1",
                            id.equals(leaving) ? ListedState.LEAVING : ListedState.LIVE,
                            new Upstream.EngineProperties("base", 8, 8),
                            false,
                            Set.of()));
        }
        return new InstanceList(1, List.of(), upstreams);
    }

    private EngineSummary.Builder summary(String engine, int running, String... adapters) {
        EngineSummary.Builder s =
                EngineSummary.newBuilder()
                        .setEngine(engine)
                        .setHolder("h")
                        .setSequence(++sequence)
                        .setRunning(running)
                        .setBatchSize(8)
                        .setAvailable(true);
        for (String a : adapters) {
            s.addAdapters(ResidentAdapter.newBuilder().setAdapter(a).setVersion(1));
        }
        return s;
    }

    private static void publish(Router router, EngineSummary.Builder... summaries) {
        EngineSummaries.Builder all = EngineSummaries.newBuilder();
        for (EngineSummary.Builder s : summaries) {
            all.addSummaries(s);
        }
        router.onSummaries(all.build());
    }

    private static RouteQuery query(String adapter) {
        return RouteQuery.of(adapter, "chat", 0);
    }

    /** Guards against loading an adapter that is already resident on an engine. */
    @Test
    public void engineWithTheAdapterIsPreferred() {
        Router r = router(1, 8);
        publish(r, summary("e3", 6, "a1"), summary("e4", 0, "a2"));
        Route route = r.route(query("a1")).get();
        assertEquals(route.engine(), "e3");
        assertEquals(route.expectedStall(), Duration.ZERO);
    }

    /**
     * Guards against loading an adapter several times because instances choose different engines
     * for the load.
     */
    @Test
    public void allInstancesChooseTheSameEngineForALoad() {
        Router r1 = router(1, 8);
        Router r2 = router(2, 8);
        Set<String> loadEngines = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            String loadEngine = r1.route(query("a" + i)).get().engine();
            assertEquals(r2.route(query("a" + i)).get().engine(), loadEngine);
            loadEngines.add(loadEngine);
        }
        assertEquals(loadEngines.size(), 8);
    }

    /**
     * Guards against choosing another engine for a load when the request counts change before a
     * summary lists the adapter.
     */
    @Test
    public void engineChosenForALoadIsKeptUntilItsSummaryListsTheAdapter() {
        Router r = router(1, 8);
        String loadEngine = r.route(query("a1")).get().engine();
        for (int i = 0; i < 20; i++) {
            Route route = r.route(query("a1")).get();
            assertEquals(route.engine(), loadEngine);
            r.onAttemptSent(route);
        }
    }

    /** Guards against choosing an overloaded engine for loads of further adapters. */
    @Test
    public void overloadedEngineIsNotChosenForALoad() {
        Router r = router(1, 8);
        String loadEngine = r.route(query("a1")).get().engine();
        time.advance(Duration.ofSeconds(3));
        publish(r, summary(loadEngine, 30));
        assertNotEquals(r.route(query("a1")).get().engine(), loadEngine);
    }

    /** Guards against sending all requests to the engine that looks best in a stale summary. */
    @Test
    public void sentAttemptsSpreadOverReplicas() {
        Router r = router(1, 4);
        publish(r, summary("e0", 0, "a1"), summary("e1", 0, "a1"), summary("e2", 0, "a1"));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 24; i++) {
            Route route = r.route(query("a1")).get();
            r.onAttemptSent(route);
            counts.merge(route.engine(), 1, Integer::sum);
        }
        assertEquals(counts.size(), 3, counts.toString());
        assertTrue(counts.values().stream().allMatch(c -> c <= 12), counts.toString());
    }

    /** Guards against attempts that are still counted after their end or the next summary. */
    @Test
    public void sentAttemptsAreRemovedAtTheirEndOrByTheNextSummary() {
        Router r = router(1, 1);
        publish(r, summary("e0", 0, "a1"));
        Route first = r.route(query("a1")).get();
        double idle = r.explain(query("a1")).get(0).lackOfBatchGain();
        r.onAttemptSent(first);
        assertTrue(r.explain(query("a1")).get(0).lackOfBatchGain() < idle);
        r.onAttemptEnded(first);
        assertEquals(r.explain(query("a1")).get(0).lackOfBatchGain(), idle);
        r.onAttemptSent(r.route(query("a1")).get());
        time.advance(Duration.ofMillis(100));
        publish(r, summary("e0", 0, "a1"));
        assertEquals(r.explain(query("a1")).get(0).lackOfBatchGain(), idle);
    }

    /**
     * Guards the replica rule: a replica is added after 500 ms above one batch of waiting requests,
     * and removed after 10 s below a quarter of one batch.
     */
    @Test
    public void replicasOfAnOverloadedAdapterAreAddedAndRemoved() {
        Router r = router(1, 4);
        EngineSummary.Builder overloaded = summary("e0", 8).setQueued(20);
        overloaded.addAdapters(
                ResidentAdapter.newBuilder().setAdapter("a1").setVersion(1).setWaiting(20));
        publish(r, overloaded);
        assertEquals(r.route(query("a1")).get().engine(), "e0");
        time.advance(Duration.ofMillis(600));
        publish(r, overloaded.setSequence(++sequence));
        String replica = r.route(query("a1")).get().engine();
        assertNotEquals(replica, "e0");
        publish(r, summary("e0", 1, "a1"), summary(replica, 1, "a1"));
        Set<String> both = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            both.add(r.route(query("a1")).get().engine());
        }
        assertEquals(both.size(), 2);
        time.advance(Duration.ofSeconds(11));
        publish(r, summary("e0", 1, "a1"), summary(replica, 1, "a1"));
        Set<String> one = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            one.add(r.route(query("a1")).get().engine());
        }
        assertEquals(one.size(), 1);
    }

    /** Guards property P6: a leaving engine is not chosen, even if no other has the adapter. */
    @Test
    public void leavingEngineIsNotChosen() {
        Router r = router(1, 4);
        publish(r, summary("e2", 0, "a1"));
        r.onInstanceList(list(4, "e2"));
        assertNotEquals(r.route(query("a1")).get().engine(), "e2");
    }

    /** Guards against routing to a holder that is unreachable. */
    @Test
    public void unreachableHolderIsAvoided() {
        Router r = router(1, 2);
        publish(r, summary("e0", 0, "a1").setHolder("dead"), summary("e1", 0));
        unreachable.add("dead");
        assertEquals(r.route(query("a1")).get().engine(), "e1");
        unreachable.add("h");
        assertEquals(r.route(query("a1")).getLeft(), ResultCode.NO_HOLDER);
        assertEquals(router(1, 0).route(query("a1")).getLeft(), ResultCode.NO_UPSTREAM);
    }

    /** Guards against a retry at the engine that has just failed. */
    @Test
    public void excludedEngineIsNotChosen() {
        Router r = router(1, 2);
        publish(r, summary("e0", 0, "a1"));
        RouteQuery retry = new RouteQuery("a1", "chat", 0, Set.of("e0"), "");
        assertEquals(r.route(retry).get().engine(), "e1");
        RouteQuery redirected = new RouteQuery("a1", "chat", 0, Set.of("e0"), "e0");
        assertEquals(r.route(redirected).get().engine(), "e1");
    }

    /** Guards against a second load of an adapter by a retry, a hedge or a redirect. */
    @Test
    public void retryDoesNotLoadTheAdapterTwice() {
        Router r = router(1, 3);
        String loadEngine = r.route(query("a1")).get().engine();
        RouteQuery retry = new RouteQuery("a1", "chat", 0, Set.of(loadEngine), "");
        assertEquals(r.route(retry).getLeft(), ResultCode.NO_UPSTREAM);
        EngineSummary.Builder loading = summary(loadEngine, 0);
        loading.addAdapters(
                ResidentAdapter.newBuilder().setAdapter("a1").setVersion(1).setLoading(true));
        publish(r, loading);
        assertEquals(r.route(retry).getLeft(), ResultCode.NO_UPSTREAM);
        publish(r, summary(loadEngine, 0, "a1"));
        assertTrue(r.route(retry).isRight());
        RouteQuery hedge = RouteQuery.forHedge("a1", "chat", 0, Set.of(loadEngine));
        assertEquals(r.route(hedge).getLeft(), ResultCode.NO_UPSTREAM);
    }

    /** Guards against an eviction that relies on a replica at an engine without new requests. */
    @Test
    public void replicasAtUnavailableEnginesAreNotCounted() {
        Router r = router(1, 4);
        AdapterVersion adapter = new AdapterVersion("a1", 1);
        publish(r, summary("e0", 0, "a1"), summary("e1", 0, "a1"), summary("e2", 0, "a1"));
        assertEquals(r.residentElsewhere(adapter, "e0"), 2);
        publish(r, summary("e1", 0, "a1").setAvailable(false));
        assertEquals(r.residentElsewhere(adapter, "e0"), 1);
        r.onInstanceList(list(4, "e2"));
        assertEquals(r.residentElsewhere(adapter, "e0"), 0);
    }

    /** Guards against policy weights that have no effect on the choice of the engine. */
    @Test
    public void policyWeightsChooseBetweenStallAndFullerBatch() {
        // e0 is loading the adapter and half full; on e1 the adapter is resident and the batch
        // empty.
        EngineSummary.Builder loading = summary("e0", 4);
        loading.addAdapters(
                ResidentAdapter.newBuilder().setAdapter("a1").setVersion(1).setLoading(true));
        EngineSummary.Builder empty = summary("e1", 0, "a1");
        Router stalls = router(1, 2);
        publish(stalls, loading, empty);
        assertEquals(stalls.route(query("a1")).get().engine(), "e1");
        policy = new Policy(0.2, 1, OwnershipScope.REGION);
        Router batches = router(1, 2);
        publish(batches, loading, empty);
        assertEquals(batches.route(query("a1")).get().engine(), "e0");
    }

    /** Guards against an outdated summary that arrives late and overwrites a newer one. */
    @Test
    public void outdatedSummaryIsIgnored() {
        Router r = router(1, 2);
        EngineSummary.Builder old = summary("e0", 0, "a1");
        publish(r, summary("e0", 0, "a2"));
        publish(r, old);
        assertFalse(r.explain(query("a1")).stream().anyMatch(c -> c.note().equals("resident")));
    }
}
