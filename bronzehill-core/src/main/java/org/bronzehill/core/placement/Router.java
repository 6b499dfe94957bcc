package org.bronzehill.core.placement;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.EngineSummary;

/** Chooses an engine for each request from the summaries that the lease holders publish. */
public final class Router {

    private final HolderDirectory holders;
    private final Supplier<Configuration> configuration;
    private final Map<String, Upstream> engines = new HashMap<>();
    private final Map<String, EngineSummary> summaries = new HashMap<>();
    private long lastRoute;

    private Router(HolderDirectory holders, Supplier<Configuration> configuration) {
        this.holders = holders;
        this.configuration = configuration;
    }

    /** Creates a router that knows no engine. */
    public static Router create(
            Membership membership,
            LeaseManager leases,
            Supplier<Configuration> configuration,
            TimeSource time,
            RandomGenerator random) {
        return create(HolderDirectory.of(membership, leases), configuration, time, random);
    }

    /** Creates a router that knows no engine, with another source of the holders. */
    public static Router create(
            HolderDirectory holders,
            Supplier<Configuration> configuration,
            TimeSource time,
            RandomGenerator random) {
        return new Router(holders, configuration);
    }

    /** Takes over what a holder tells about its engines. */
    public void onSummaries(EngineSummaries message) {
        message.getSummariesList().forEach(s -> summaries.put(s.getEngine(), s));
    }

    /** Takes over the published upstreams. */
    public void onInstanceList(InstanceList list) {
        engines.clear();
        for (Upstream u : list.upstreams()) {
            if (u.kind() == UpstreamKind.ENGINE && u.region().equals(holders.region())) {
                engines.put(u.id(), u);
            }
        }
        summaries.keySet().retainAll(engines.keySet());
    }

    /** Chooses an engine; returns the reason if there is none. */
    public Either<ResultCode, Route> route(RouteQuery query) {
        List<RouteCandidate> candidates = explain(query);
        for (RouteCandidate c : candidates) {
            if (!c.holder().isEmpty()) {
                return Either.right(
                        new Route(
                                ++lastRoute,
                                c.engine(),
                                c.holder(),
                                Duration.ofMillis(Math.round(c.stall() * 1000))));
            }
        }
        return Either.left(candidates.isEmpty() ? ResultCode.NO_UPSTREAM : ResultCode.NO_HOLDER);
    }

    /** Notes that an attempt was sent along the route. */
    public void sent(Route route) {
        // The count of sent requests follows with the full score.
    }

    /** Notes that the attempt sent along the route has ended. */
    public void ended(Route route) {
        // The count of sent requests follows with the full score.
    }

    /** Returns the engines considered for a request, the best one first. */
    public List<RouteCandidate> explain(RouteQuery query) {
        AdapterSpec adapter = configuration.get().adapter(query.adapter()).getOrNull();
        if (adapter == null) {
            return List.of();
        }
        int version = adapter.versionFor(query.kind());
        return engines.values().stream()
                .filter(u -> u.acceptsWork() && !query.excluded().contains(u.id()))
                .filter(u -> u.shape().baseModel().equals(adapter.baseModel()))
                .map(u -> candidate(u.id(), query.adapter(), version))
                .sorted(Comparator.comparingDouble(RouteCandidate::score))
                .toList();
    }

    private RouteCandidate candidate(String engine, String adapter, int version) {
        Option<EngineSummary> summary = Option.of(summaries.get(engine));
        boolean resident =
                summary.exists(
                        s ->
                                s.getAdaptersList().stream()
                                        .anyMatch(
                                                a ->
                                                        a.getAdapter().equals(adapter)
                                                                && a.getVersion() == version));
        double rank = RendezvousHash.weight(adapter, engine) / -(double) Long.MIN_VALUE;
        double stall = resident ? 0 : 0.25;
        String holder = holders.holderOf(engine).filter(holders::isReachable).getOrElse("");
        return new RouteCandidate(
                engine, holder, stall * 16 - rank, stall, 0, 0, false, resident ? "resident" : "");
    }
}
