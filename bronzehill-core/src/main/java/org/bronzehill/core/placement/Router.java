package org.bronzehill.core.placement;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.Policy;
import org.bronzehill.core.engine.EngineRequest;
import org.bronzehill.core.engine.PlacementView;
import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.EngineSummaries;

/** Chooses an engine for each request from the summaries that the lease holders publish. */
public final class Router implements PlacementView {

    /** Scores that differ by less than this, or by less than a twentieth, are near-equal. */
    private static final double NEAR_EQUAL_SECONDS = 0.01;

    private static final double NEAR_EQUAL_RATIO = 0.05;

    /**
     * If the queue delay at the best engine that has the adapter exceeds this value, a load on
     * another engine is considered.
     */
    private static final double MAX_QUEUE_DELAY_WITHOUT_LOAD_SECONDS = 2;

    /**
     * Time for which the engine chosen for a load is retained; the holder's summary lists the load
     * by then.
     */
    private static final long LOAD_CHOICE_RETENTION_NANOS = Duration.ofSeconds(2).toNanos();

    /** Age of a summary up to which its holder is used; later the lease manager is consulted. */
    private static final long MAX_HOLDER_AGE_NANOS = Duration.ofMillis(1500).toNanos();

    private static final int MAX_RETAINED_LOAD_CHOICES = 4096;
    private static final int MAX_ENGINES_TRIED = 8;
    private static final int MAX_EXPLAINED_CANDIDATES = 32;

    private final HolderDirectory holders;
    private final Supplier<Configuration> configuration;
    private final TimeSource time;
    private final RandomGenerator random;
    private final EngineIndex index = new EngineIndex();
    private final EngineScorer scorer;
    private final Map<AdapterVersion, LoadChoice> loadChoices =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<AdapterVersion, LoadChoice> eldest) {
                    return size() > MAX_RETAINED_LOAD_CHOICES;
                }
            };
    private long lastRouteId;

    private Router(
            HolderDirectory holders,
            Supplier<Configuration> configuration,
            TimeSource time,
            RandomGenerator random) {
        this.holders = holders;
        this.configuration = configuration;
        this.time = time;
        this.random = random;
        this.scorer = new EngineScorer(index, holders);
    }

    /** Creates a router without engines. */
    public static Router create(
            Membership membership,
            LeaseManager leases,
            Supplier<Configuration> configuration,
            TimeSource time,
            RandomGenerator random) {
        return create(HolderDirectory.of(membership, leases), configuration, time, random);
    }

    /** Creates a router without engines that reads holders from the given directory. */
    public static Router create(
            HolderDirectory holders,
            Supplier<Configuration> configuration,
            TimeSource time,
            RandomGenerator random) {
        return new Router(holders, configuration, time, random);
    }

    /** Updates the engines from the summaries of a holder. */
    public void onSummaries(EngineSummaries message) {
        long now = time.nanoTime();
        message.getSummariesList().forEach(s -> index.onSummary(s, now));
    }

    /** Updates the set of engines from the published instance list. */
    public void onInstanceList(InstanceList list) {
        index.onInstanceList(list, holders.region());
    }

    /** Chooses an engine; returns the result code of the refusal if none can be chosen. */
    public Either<ResultCode, Route> route(RouteQuery query) {
        AdapterSpec adapter = configuration.get().adapter(query.adapter()).getOrNull();
        if (adapter == null) {
            return Either.left(ResultCode.UNKNOWN_ADAPTER);
        }
        AdapterVersion version =
                new AdapterVersion(query.adapter(), adapter.versionFor(query.kind()));
        boolean mayLoad = !query.residentOnly() && !isLoadingAt(query.excluded(), version);
        EngineSelection selection =
                new EngineSelection(adapter.baseModel(), version, query.prefixHash(), mayLoad);
        Set<String> excluded = query.excluded();
        EngineView preferred = index.engine(query.preferred());
        boolean found = false;
        for (int i = 0; i < MAX_ENGINES_TRIED; i++) {
            EngineView e =
                    preferred != null && selection.isCandidate(preferred, excluded)
                            ? preferred
                            : selection.best(excluded);
            if (e == null) {
                break;
            }
            found = true;
            String holder = holderOf(e);
            if (!holder.isEmpty()) {
                return Either.right(selection.route(e, holder));
            }
            excluded = new HashSet<>(excluded);
            excluded.add(e.id());
        }
        return Either.left(found ? ResultCode.NO_HOLDER : ResultCode.NO_UPSTREAM);
    }

    /** Counts a sent attempt as load of the engine until a summary includes it. */
    public void onAttemptSent(Route route) {
        EngineView e = index.engine(route.engine());
        if (e != null) {
            e.unreported().removeExpired(time.nanoTime());
            e.unreported().add(route.id(), time.nanoTime());
        }
    }

    /**
     * Removes an ended attempt from the load of its engine and records its service time. That is
     * the time since routing without the expected load stall. It includes the time in the queue and
     * on the network, and is recorded for failed and cancelled attempts too.
     */
    public void onAttemptEnded(Route route) {
        EngineView e = index.engine(route.engine());
        if (e != null) {
            e.unreported().remove(route.id());
        }
        long nanos = time.nanoTime() - route.routedNanos() - route.expectedStall().toNanos();
        scorer.recordServiceTime(nanos / 1e9);
    }

    /** Returns the engines considered for a request, the best one first. */
    public List<RouteCandidate> explain(RouteQuery query) {
        AdapterSpec adapter = configuration.get().adapter(query.adapter()).getOrNull();
        if (adapter == null) {
            return List.of();
        }
        AdapterVersion version =
                new AdapterVersion(query.adapter(), adapter.versionFor(query.kind()));
        EngineSelection selection =
                new EngineSelection(adapter.baseModel(), version, query.prefixHash(), true);
        List<RouteCandidate> candidates = new ArrayList<>();
        for (EngineView e : index.ofModel(adapter.baseModel())) {
            candidates.add(selection.candidate(e, query.excluded()));
        }
        candidates.sort(Comparator.comparingDouble(RouteCandidate::score));
        return candidates.subList(0, Math.min(MAX_EXPLAINED_CANDIDATES, candidates.size()));
    }

    @Override
    public int residentElsewhere(AdapterVersion adapter, String engine) {
        int count = 0;
        for (EngineView e : index.withAdapter(adapter)) {
            boolean usable = e.acceptsWork() && !e.adapters().get(adapter).loading();
            count += usable && !e.id().equals(engine) ? 1 : 0;
        }
        return count;
    }

    @Override
    public Option<String> alternativeEngine(EngineRequest request, String engine) {
        AdapterSpec adapter = configuration.get().adapter(request.adapter()).getOrNull();
        if (adapter == null) {
            return Option.none();
        }
        AdapterVersion version =
                new AdapterVersion(request.adapter(), adapter.versionFor(request.kind()));
        boolean mayLoad = !isLoadingAt(Set.of(engine), version);
        EngineSelection selection =
                new EngineSelection(adapter.baseModel(), version, request.prefixHash(), mayLoad);
        EngineView e = selection.best(Set.of(engine));
        boolean canTakeRequest =
                e != null
                        && e.isFresh(time.nanoTime(), EngineScorer.MAX_SUMMARY_AGE_NANOS)
                        && e.load() < e.batchSize()
                        && selection.stall(e) < request.deadline().toNanos() / 1e9
                        && !holderOf(e).isEmpty();
        return canTakeRequest ? Option.some(e.id()) : Option.none();
    }

    /**
     * Returns whether one of the engines is loading the adapter version, or was chosen for a load
     * so recently that no summary may list it yet. A retry, hedge or redirect away from that engine
     * must not start a second load, because the weight store limits the rate of loads.
     */
    private boolean isLoadingAt(Set<String> tried, AdapterVersion version) {
        if (tried.isEmpty()) {
            return false;
        }
        List<EngineView> withAdapter = index.withAdapter(version);
        for (EngineView e : withAdapter) {
            if (tried.contains(e.id()) && e.acceptsWork() && e.adapters().get(version).loading()) {
                return true;
            }
        }
        LoadChoice retained = withAdapter.isEmpty() ? loadChoices.get(version) : null;
        return retained != null
                && tried.contains(retained.engine().id())
                && retained.engine().acceptsWork()
                && time.nanoTime() - retained.chosenNanos() < LOAD_CHOICE_RETENTION_NANOS;
    }

    /** Returns the holder of the engine, or an empty string if it is unknown or unreachable. */
    private String holderOf(EngineView e) {
        String holder = e.holder();
        if (holder.isEmpty() || !e.isFresh(time.nanoTime(), MAX_HOLDER_AGE_NANOS)) {
            holder = holders.holderOf(e.id()).getOrElse("");
        }
        return !holder.isEmpty() && holders.isReachable(holder) ? holder : "";
    }

    private record LoadChoice(EngineView engine, long chosenNanos) {}

    /** Selects an engine for one request. */
    private final class EngineSelection {

        private final String baseModel;
        private final AdapterVersion version;
        private final long prefixHash;
        private final boolean mayLoad;
        private final Policy policy = configuration.get().policy();
        private final long now = time.nanoTime();
        private final double newLoadSeconds =
                scorer.newLoadSeconds(configuration.get().limits().storeLoadsPerSecond());

        EngineSelection(
                String baseModel, AdapterVersion version, long prefixHash, boolean mayLoad) {
            this.baseModel = baseModel;
            this.version = version;
            this.prefixHash = prefixHash;
            this.mayLoad = mayLoad;
        }

        boolean isCandidate(EngineView e, Set<String> excluded) {
            return e.acceptsWork() && e.baseModel().equals(baseModel) && !excluded.contains(e.id());
        }

        double stall(EngineView e) {
            return scorer.stall(e, version, newLoadSeconds);
        }

        private double score(EngineView e) {
            return scorer.score(e, policy, stall(e), prefixHash, now);
        }

        /**
         * Returns the best engine, or null. An engine that would have to load the adapter is
         * considered only if a load is allowed, and if no engine with the adapter can be chosen,
         * replicas are missing, or the queue delay is too long.
         */
        EngineView best(Set<String> excluded) {
            List<EngineView> withAdapter = index.withAdapter(version);
            int targetReplicas = index.replicas().targetReplicas(version);
            EngineView best = null;
            double lowest = Double.MAX_VALUE;
            int usable = 0;
            for (EngineView e : withAdapter) {
                if (isCandidate(e, excluded)
                        && isAmongTargetReplicas(e, withAdapter, targetReplicas)) {
                    usable++;
                    double score = score(e);
                    if (score < lowest) {
                        lowest = score;
                        best = e;
                    }
                }
            }
            boolean considerLoad =
                    mayLoad
                            && (best == null
                                    || withAdapter.size() < targetReplicas
                                    || scorer.queueDelay(best)
                                            > MAX_QUEUE_DELAY_WITHOUT_LOAD_SECONDS);
            EngineView loadEngine = considerLoad ? engineForLoad(excluded) : null;
            if (best == null || loadEngine != null && score(loadEngine) < lowest) {
                return loadEngine;
            }
            return usable > 1 ? pickNearEqual(withAdapter, excluded, targetReplicas, lowest) : best;
        }

        /**
         * Returns whether an engine with the adapter is among the {@code targetReplicas} first ones
         * in rendezvous order, so that surplus replicas get no more requests and are evicted.
         */
        private boolean isAmongTargetReplicas(
                EngineView e, List<EngineView> withAdapter, int targetReplicas) {
            if (targetReplicas == 0 || withAdapter.size() <= targetReplicas) {
                return true;
            }
            long key = RendezvousHash.keyHash(version.adapter());
            long own = RendezvousHash.weightOf(key, e.nameHash());
            int before = 0;
            for (EngineView other : withAdapter) {
                before += RendezvousHash.weightOf(key, other.nameHash()) > own ? 1 : 0;
            }
            return before < targetReplicas;
        }

        /**
         * Samples two of the engines with a near-equal score and returns the one to which this
         * instance has sent fewer unreported attempts.
         */
        private EngineView pickNearEqual(
                List<EngineView> withAdapter,
                Set<String> excluded,
                int targetReplicas,
                double lowest) {
            double limit =
                    lowest + Math.max(NEAR_EQUAL_SECONDS, NEAR_EQUAL_RATIO * Math.abs(lowest));
            EngineView first = null;
            EngineView second = null;
            int seen = 0;
            for (EngineView e : withAdapter) {
                if (isCandidate(e, excluded)
                        && isAmongTargetReplicas(e, withAdapter, targetReplicas)
                        && score(e) <= limit) {
                    seen++;
                    if (seen <= 2) {
                        second = first;
                        first = e;
                    } else {
                        int place = random.nextInt(seen);
                        first = place == 0 ? e : first;
                        second = place == 1 ? e : second;
                    }
                }
            }
            boolean useSecond =
                    second != null
                            && (second.unreported().size() < first.unreported().size()
                                    || second.unreported().size() == first.unreported().size()
                                            && random.nextBoolean());
            return useSecond ? second : first;
        }

        /**
         * Returns the engine on which the adapter is to be loaded, or null if there is none. A
         * recent choice is retained. Otherwise, all instances with the same summaries and the same
         * excluded engines choose the same engine.
         */
        private EngineView engineForLoad(Set<String> excluded) {
            LoadChoice retained = loadChoices.get(version);
            if (retained != null
                    && now - retained.chosenNanos() < LOAD_CHOICE_RETENTION_NANOS
                    && isCandidate(retained.engine(), excluded)
                    && index.engine(retained.engine().id()) == retained.engine()) {
                return retained.engine();
            }
            EngineView loadEngine =
                    LoadEngineSelector.choose(
                            index.ofModel(baseModel),
                            version,
                            policy,
                            e -> isCandidate(e, excluded) && !e.adapters().containsKey(version));
            if (loadEngine != null) {
                loadChoices.remove(version);
                loadChoices.put(version, new LoadChoice(loadEngine, now));
            }
            return loadEngine;
        }

        Route route(EngineView e, String holder) {
            long stallMillis = Math.round(stall(e) * 1000);
            return new Route(++lastRouteId, e.id(), holder, Duration.ofMillis(stallMillis), now);
        }

        RouteCandidate candidate(EngineView e, Set<String> excluded) {
            EngineView.Residency r = e.adapters().get(version);
            String note =
                    !isCandidate(e, excluded)
                            ? "passed over"
                            : r == null ? "cold" : r.loading() ? "loading" : "resident";
            return new RouteCandidate(
                    e.id(),
                    holderOf(e),
                    score(e),
                    stall(e),
                    scorer.emptyBatchShare(e),
                    scorer.queueDelay(e),
                    e.hasPrefix(prefixHash),
                    note);
        }
    }
}
