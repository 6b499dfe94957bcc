package org.bronzehill.core.engine;

import io.vavr.control.Option;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationBase;
import org.bronzehill.config.KindSpec;
import org.bronzehill.config.Limits;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.config.Policy;
import org.bronzehill.config.TeamSpec;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.IdSequence;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.PermitRequest;

/** One scheduler on virtual time that records its effects, with fakes for its dependencies. */
final class SchedulerFixture implements LeaseOperations, StorePermits, CrashHistory, PlacementView {

    static final String ENGINE = "e1";
    static final String RESOURCE = "engine/e1";

    final ManualTimeSource time = ManualTimeSource.startingAt(Instant.EPOCH);
    final List<Effect> effects = new ArrayList<>();
    final Effects out = effects::add;
    final Map<Long, PermitRequest> permits = new LinkedHashMap<>();
    final List<String> returned = new ArrayList<>();
    final List<String> intents = new ArrayList<>();
    final List<String> finishedIntents = new ArrayList<>();
    final Map<String, List<EngineResult>> results = new TreeMap<>();
    final Map<String, Integer> marks = new HashMap<>();
    final Map<String, Integer> versions = new HashMap<>();
    Configuration configuration;
    Policy policy = new Policy(1, 0.5, OwnershipScope.REGION);
    int engineQueue = 1024;
    int adapters = 300;
    Set<String> groups = Set.of("g");
    boolean leaseHeld = true;
    String alternative = "";
    int replicas;
    Upstream upstream = upstream(ListedState.LIVE, 4, 4, false);
    EngineScheduler scheduler;
    final IdSequence ids = IdSequence.create();
    private long number;
    private long stamp;

    SchedulerFixture() {
        configure();
    }

    /** Starts a scheduler whose engine has reported that no adapter is loaded. */
    static SchedulerFixture started() {
        SchedulerFixture f = new SchedulerFixture();
        f.start(new Lease(RESOURCE, 100, true, Set.of()), EvictionRule.SAFE);
        f.report();
        return f;
    }

    void start(Lease lease, EvictionRule rule) {
        scheduler = EngineScheduler.create(upstream, lease, context(), rule);
    }

    SchedulerContext context() {
        return new SchedulerContext(
                this,
                this,
                () -> configuration,
                time,
                ids,
                this,
                this,
                (r, result, o) ->
                        results.computeIfAbsent(r.requestId(), k -> new ArrayList<>()).add(result));
    }

    static Upstream upstream(ListedState state, int slots, int batch, boolean checksFencing) {
        return upstream(ENGINE, state, slots, batch, checksFencing);
    }

    static Upstream upstream(
            String id, ListedState state, int slots, int batch, boolean checksFencing) {
        return new Upstream(
                id,
                UpstreamKind.ENGINE,
                URI.create("http://127.0.0.1:1"),
                "dc1",
                "r1",
                state,
                new Upstream.EngineProperties("base", slots, batch),
                checksFencing,
                Set.of());
    }

    /** Applies a configuration with the next number; its adapters have version 1 by default. */
    void configure() {
        Map<String, KindSpec> kinds = new HashMap<>();
        kind(kinds, "chat", Urgency.INTERACTIVE, Duration.ofSeconds(10));
        kind(kinds, "lookup", Urgency.PROMPT, Duration.ofSeconds(20));
        kind(kinds, "summary", Urgency.SHIFT, Duration.ofSeconds(60));
        kind(kinds, "plan", Urgency.OVERNIGHT, Duration.ofHours(1));
        Map<String, TeamSpec> members = new HashMap<>();
        for (String m : List.of("m1", "m2")) {
            members.put(m, new TeamSpec(m, 1, kinds.keySet(), groups, Map.of("h" + m, "c")));
        }
        List<AdapterSpec> specs = new ArrayList<>();
        for (int i = 0; i < adapters; i++) {
            int v = versions.getOrDefault("a" + i, 1);
            specs.add(
                    new AdapterSpec(
                            "a" + i, "base", "g", Map.of(1, "w1", 2, "w2"), Map.of("*", v)));
        }
        Limits limits = new Limits(4, 2, 16, 1 << 20, engineQueue, 4096, 2000);
        configuration =
                Configuration.of(
                        ++number,
                        new ConfigurationBase(Set.of("base"), kinds, members, limits, policy),
                        specs);
    }

    private static void kind(Map<String, KindSpec> kinds, String name, Urgency u, Duration d) {
        kinds.put(name, new KindSpec(name, u, d, false, true, 1, "", Duration.ofSeconds(5)));
    }

    EngineRequest request(String id, String team, String kind, String adapter, long deadlineMs) {
        return new EngineRequest(
                id,
                1,
                "origin",
                team,
                "c",
                kind,
                adapter,
                new byte[0],
                false,
                Duration.ofMillis(deadlineMs),
                id.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                0,
                false,
                16);
    }

    void submit(String id, String kind, String adapter) {
        long ms = configuration.kind(kind).get().deadline().toMillis();
        scheduler.submit(request(id, "m1", kind, adapter, ms), out);
    }

    void advance(long ms) {
        for (long t = 0; t < ms; t += 50) {
            time.advance(Duration.ofMillis(Math.min(50, ms - t)));
            scheduler.onTick(out);
        }
    }

    /**
     * Delivers a report with the given handles, written as {@code name:running} or {@code
     * name:loading}.
     */
    void report(String... handles) {
        reportFrom(1, handles);
    }

    void reportFrom(long startNumber, String... handles) {
        stamp = Math.max(stamp + 1, time.nanoTime() / 1_000_000 + 1000);
        List<EngineReport.HandleReport> list =
                Arrays.stream(handles)
                        .map(h -> h.split(":"))
                        .map(
                                h ->
                                        new EngineReport.HandleReport(
                                                h[0],
                                                h[1].equals("loading"),
                                                h[1].equals("loading")
                                                        ? 0
                                                        : Integer.parseInt(h[1])))
                        .toList();
        scheduler.onReport(
                new EngineReport(ENGINE, startNumber, stamp, 0, list, 0, 0, List.of()), out);
    }

    /** Grants the oldest permit request. */
    void grant() {
        long sequence = permits.keySet().iterator().next();
        permits.remove(sequence);
        scheduler.onPermit(sequence, out);
    }

    /** Makes an adapter resident by running one request to its end. */
    void makeResident(String adapter) {
        submit("warm-" + adapter, "chat", adapter);
        grant();
        answer(lastOrder(OrderKind.LOAD), OrderOutcome.DONE);
        finish(lastStart());
        results.clear();
    }

    void answer(Effect.OrderEngine order, OrderOutcome outcome) {
        scheduler.onOrderAnswered(order.orderId(), outcome, 0, out);
    }

    void finish(Effect.StartAttempt start) {
        scheduler.onAttemptFinished(start.attemptId(), 1, 10, out);
    }

    List<Effect.OrderEngine> orders(OrderKind kind) {
        return all(Effect.OrderEngine.class).stream().filter(o -> o.kind() == kind).toList();
    }

    Effect.OrderEngine lastOrder(OrderKind kind) {
        List<Effect.OrderEngine> orders = orders(kind);
        return orders.get(orders.size() - 1);
    }

    List<Effect.StartAttempt> starts() {
        return all(Effect.StartAttempt.class);
    }

    Effect.StartAttempt lastStart() {
        return starts().get(starts().size() - 1);
    }

    <T extends Effect> List<T> all(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    ResultCode code(String id) {
        List<EngineResult> list = results.get(id);
        return list == null ? null : list.get(list.size() - 1).code();
    }

    @Override
    public boolean holds(String resource) {
        return leaseHeld;
    }

    @Override
    public void announceIntent(String resource, String handle, Effects o) {
        intents.add(handle);
    }

    @Override
    public void finishIntent(String resource, String handle, Effects o) {
        finishedIntents.add(handle);
    }

    @Override
    public void observeFencing(String resource, long fencing) {}

    @Override
    public void request(PermitRequest request, Effects o) {
        permits.put(request.getSequence(), request);
    }

    @Override
    public void withdraw(String engine, long sequence, Effects o) {
        permits.remove(sequence);
    }

    @Override
    public void returnPermit(String engine, long sequence, boolean used, Effects o) {
        returned.add(sequence + (used ? ":used" : ":unused"));
    }

    @Override
    public int crashCount(byte[] fingerprint) {
        return marks.getOrDefault(new String(fingerprint), 0);
    }

    @Override
    public void recordCrash(Collection<byte[]> fingerprints, Effects o) {
        fingerprints.forEach(f -> marks.merge(new String(f), 1, Integer::sum));
    }

    @Override
    public void recordCompletion(byte[] fingerprint, Effects o) {
        marks.remove(new String(fingerprint));
    }

    @Override
    public int residentElsewhere(AdapterVersion adapter, String engine) {
        return replicas;
    }

    @Override
    public Option<String> alternativeEngine(EngineRequest request, String engine) {
        return alternative.isEmpty() ? Option.none() : Option.some(alternative);
    }
}
