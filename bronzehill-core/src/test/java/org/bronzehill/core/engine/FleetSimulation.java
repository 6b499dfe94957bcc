package org.bronzehill.core.engine;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.bronzehill.config.Policy;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.core.placement.HolderDirectory;
import org.bronzehill.core.placement.Route;
import org.bronzehill.core.placement.RouteQuery;
import org.bronzehill.core.placement.Router;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.PermitRequest;

/**
 * Simulates eight engines, one router and a weight store of four loads/s on virtual time. Like the
 * store budget, the store grants permits by deadline in steps of 250 ms, then by value.
 */
final class FleetSimulation {

    /** Result of one request. */
    record Outcome(
            long submittedMs, String kind, String adapter, ResultCode code, double stallSeconds) {}

    private record Event(long atMs, long order, Runnable action) {}

    private record PermitQueueEntry(long sequence, long deadlineMs, double value) {}

    private static final int ENGINES = 8;
    private static final double LOADS_PER_SECOND = 4;

    final SchedulerFixture f = new SchedulerFixture();
    final List<Outcome> outcomes = new ArrayList<>();
    int loads;
    int evictions;
    private final Random random;
    private final boolean blind;
    private final Router router;
    private final Map<String, EngineScheduler> engines = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final Map<String, PermitQueueEntry> permitQueue = new HashMap<>();
    private final Map<Long, EngineScheduler> owners = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, Long> submittedMs = new HashMap<>();
    private final Effects out = this::handle;
    private double tokens = 1;
    private double batchSum;
    private int batchSamples;
    private long nowMs;
    private long order;
    private int requests;

    /**
     * Creates a fleet.
     *
     * @param blind whether requests go to a random engine, as from a load balancer that does not
     *     know which adapters are resident
     */
    FleetSimulation(long seed, Policy policy, int slots, boolean blind) {
        random = new Random(seed);
        this.blind = blind;
        f.policy = policy;
        f.adapters = 3000;
        f.configure();
        router = Router.create(directory(), () -> f.configuration, f.time, new Random(seed + 1));
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            upstreams.add(SchedulerFixture.upstream("e" + i, ListedState.LIVE, slots, 16, false));
        }
        router.onInstanceList(new InstanceList(1, List.of(), upstreams));
        for (Upstream u : upstreams) {
            names.add(u.id());
            Lease lease = new Lease("engine/" + u.id(), 100, true, Set.of());
            engines.put(u.id(), EngineScheduler.create(u, lease, context()));
        }
    }

    private SchedulerContext context() {
        return new SchedulerContext(
                f,
                permits(),
                () -> f.configuration,
                f.time,
                f.ids,
                f,
                blind ? PlacementView.NONE : router,
                this::ended);
    }

    private StorePermits permits() {
        return new StorePermits() {
            @Override
            public void request(PermitRequest r, Effects o) {
                PermitQueueEntry entry =
                        new PermitQueueEntry(
                                r.getSequence(), nowMs + r.getDeadlineMs(), r.getValue());
                permitQueue.put(r.getEngine() + "/" + r.getSequence(), entry);
            }

            @Override
            public void withdraw(String engine, long sequence, Effects o) {
                permitQueue.remove(engine + "/" + sequence);
            }

            @Override
            public void returnPermit(String engine, long sequence, boolean used, Effects o) {
                tokens += used ? 0 : 1;
            }
        };
    }

    private static HolderDirectory directory() {
        return new HolderDirectory() {
            @Override
            public Option<String> holderOf(String engine) {
                return Option.some("h");
            }

            @Override
            public boolean isReachable(String instance) {
                return true;
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
    }

    /**
     * Runs traffic of one kind over {@code count} adapters starting at number {@code first},
     * Zipf-distributed.
     */
    void run(long millis, double perSecond, String kind, int first, int count) {
        double[] cumulative = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += 1.0 / (i + 1);
            cumulative[i] = sum;
        }
        for (long end = nowMs + millis; nowMs < end; ) {
            // A step takes 10 ms; several requests may arrive in one.
            for (double due = perSecond / 100; random.nextDouble() < due; due--) {
                double x = random.nextDouble() * sum;
                int i = 0;
                while (cumulative[i] < x) {
                    i++;
                }
                submit(kind, "a" + (first + i));
            }
            step();
        }
    }

    /**
     * Runs traffic of several kinds at once, all over the same {@code count} adapters with a skewed
     * distribution.
     */
    void runMix(long millis, Map<String, Double> perSecond, int count) {
        for (long end = nowMs + millis; nowMs < end; ) {
            perSecond.forEach(
                    (kind, rate) -> {
                        if (random.nextDouble() < rate / 100) {
                            submit(kind, "a" + (int) (count * Math.pow(random.nextDouble(), 3)));
                        }
                    });
            step();
        }
    }

    private void submit(String kind, String adapter) {
        String id = "r" + requests++;
        submittedMs.put(id, nowMs);
        long deadline = f.configuration.kind(kind).get().deadline().toMillis();
        EngineRequest request = f.request(id, "m1", kind, adapter, deadline);
        if (blind) {
            engines.get(names.get(random.nextInt(ENGINES))).submit(request, out);
            return;
        }
        Either<ResultCode, Route> route = router.route(RouteQuery.of(adapter, kind, 0));
        router.onAttemptSent(route.get());
        routes.put(id, route.get());
        engines.get(route.get().engine()).submit(request, out);
    }

    private void ended(EngineRequest r, EngineResult result, Effects o) {
        Route route = routes.remove(r.requestId());
        if (route != null) {
            router.onAttemptEnded(route);
        }
        if (result.code() == ResultCode.REDIRECT) {
            EngineRequest last =
                    new EngineRequest(
                            r.requestId(),
                            2,
                            r.origin(),
                            r.team(),
                            r.caller(),
                            r.kind(),
                            r.adapter(),
                            r.body(),
                            r.stream(),
                            r.deadline(),
                            r.fingerprint(),
                            0,
                            true,
                            16);
            later(1, () -> engines.get(result.redirectTo()).submit(last, out));
            return;
        }
        double stall = result.loadStall().toNanos() / 1e9;
        outcomes.add(
                new Outcome(
                        submittedMs.remove(r.requestId()),
                        r.kind(),
                        r.adapter(),
                        result.code(),
                        stall));
    }

    private void step() {
        f.time.advance(Duration.ofMillis(10));
        nowMs += 10;
        while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
            events.poll().action().run();
        }
        if (nowMs % 50 == 0) {
            names.forEach(n -> engines.get(n).onTick(out));
        }
        if (nowMs % 100 == 0) {
            EngineSummaries.Builder all = EngineSummaries.newBuilder();
            names.forEach(
                    n -> all.addSummaries(engines.get(n).summary().toBuilder().setHolder("h")));
            router.onSummaries(all.build());
        }
        tokens = Math.min(2, tokens + LOADS_PER_SECOND / 100);
        while (tokens >= 1 && !permitQueue.isEmpty()) {
            grant();
        }
    }

    private void grant() {
        String best = null;
        for (String key : permitQueue.keySet()) {
            best = best == null || isBefore(key, best) ? key : best;
        }
        PermitQueueEntry entry = permitQueue.remove(best);
        tokens--;
        engines.get(best.substring(0, best.indexOf('/'))).onPermit(entry.sequence(), out);
    }

    private boolean isBefore(String key, String other) {
        PermitQueueEntry a = permitQueue.get(key);
        PermitQueueEntry b = permitQueue.get(other);
        long stepA = a.deadlineMs() / 250;
        long stepB = b.deadlineMs() / 250;
        return stepA != stepB
                ? stepA < stepB
                : a.value() != b.value() ? a.value() > b.value() : a.sequence() < b.sequence();
    }

    private void later(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, order++, action));
    }

    private void handle(Effect e) {
        if (e instanceof Effect.OrderEngine o) {
            EngineScheduler s = engines.get(o.engine());
            boolean load = o.kind() == OrderKind.LOAD;
            loads += load ? 1 : 0;
            evictions += load ? 0 : 1;
            later(load ? 250 : 2, () -> s.onOrderAnswered(o.orderId(), OrderOutcome.DONE, 0, out));
        } else if (e instanceof Effect.StartAttempt a) {
            EngineScheduler s = engines.get(a.engine());
            long service = 300 + random.nextInt(600);
            later(service, () -> s.onAttemptFinished(a.attemptId(), 1, 10, out));
        } else if (e instanceof Effect.RecordMetric m
                && m.metric() == CoreMetric.BATCH_EFFICIENCY_RATIO) {
            batchSum += m.value();
            batchSamples++;
        }
        while (!f.intents.isEmpty()) {
            String handle = f.intents.remove(0);
            later(2, () -> engines.values().forEach(s -> s.onIntentAcknowledged(handle, out)));
        }
    }

    /** Returns the mean batch efficiency since the last call. */
    double takeBatchEfficiency() {
        double mean = batchSum / Math.max(1, batchSamples);
        batchSum = 0;
        batchSamples = 0;
        return mean;
    }

    long nowMs() {
        return nowMs;
    }

    /** Returns the fraction of the requests of an interval that were answered. */
    double answeredShare(long fromMs, long toMs) {
        List<Outcome> all = between(fromMs, toMs);
        long ok = all.stream().filter(o -> o.code() == ResultCode.OK).count();
        return (double) ok / Math.max(1, all.size());
    }

    /**
     * Returns a quantile of the load stall; a request that was not answered counts with 10 s, the
     * deadline of a chat request.
     */
    double stall(long fromMs, long toMs, double quantile) {
        double[] stalls =
                between(fromMs, toMs).stream()
                        .mapToDouble(o -> o.code() == ResultCode.OK ? o.stallSeconds() : 10)
                        .sorted()
                        .toArray();
        return stalls.length == 0
                ? 0
                : stalls[(int) Math.min(stalls.length - 1, stalls.length * quantile)];
    }

    /**
     * Returns the mean load stall; a request that was not answered counts with 10 s, the deadline
     * of a chat request.
     */
    double meanStall(long fromMs, long toMs) {
        return between(fromMs, toMs).stream()
                .mapToDouble(o -> o.code() == ResultCode.OK ? o.stallSeconds() : 10)
                .average()
                .orElse(0);
    }

    /**
     * Returns the fraction of the requests of an interval that were answered without a load stall.
     */
    double unstalledShare(long fromMs, long toMs) {
        List<Outcome> all = between(fromMs, toMs);
        long ok =
                all.stream()
                        .filter(o -> o.code() == ResultCode.OK && o.stallSeconds() == 0)
                        .count();
        return (double) ok / Math.max(1, all.size());
    }

    private List<Outcome> between(long fromMs, long toMs) {
        return outcomes.stream()
                .filter(o -> o.submittedMs() >= fromMs && o.submittedMs() < toMs)
                .toList();
    }
}
