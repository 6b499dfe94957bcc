package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzehill.core.model.RendezvousHash;

/**
 * Chooses the upstream of a request: the one with the least expected time to a complete answer.
 *
 * <p>Answers a load in which few adapters get most requests: a busy engine that holds the adapter
 * is left for an idle one as soon as the wait there exceeds the time of a load, which spreads
 * copies of busy adapters. A random part breaks ties, so that instances with the same view of the
 * load do not all send to the same upstream.
 *
 * <p>Answers a working set larger than the engines' places: an adapter that was evicted goes back
 * to the engine that held it, which loads it in a fraction of the time and without the store.
 */
final class UpstreamChooser {

    /** Expected extra time at an engine whose batch is full, against an idle one. */
    private static final double FULL_BATCH_MS = 600;

    /** Expected time lost by a request that fails and is sent again, or is lost. */
    private static final double FAILURE_MS = 2500;

    /**
     * What a load costs others beside the wait: the store's bandwidth and another adapter's place.
     */
    private static final double LOAD_MS = 400;

    /**
     * Advantage of the engine that is first in an adapter's rendezvous order: it is likely to have
     * held the adapter before and to load it faster.
     */
    private static final double HOME_MS = 80;

    /** Cost of the way to another data centre and back; keeps traffic local at equal load. */
    private static final double REMOTE_MS = 40;

    /** Largest random part; below the cost of a data centre's distance. */
    private static final double JITTER_MS = 6;

    private final String dataCentre;
    private final RandomGenerator random;

    /**
     * @param dataCentre data centre of this instance
     */
    UpstreamChooser(String dataCentre, RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.random = random;
    }

    /** Upstream for a request, and whether its adapter is there. */
    record Choice(
            UpstreamState upstream, boolean adapterReady, Duration adapterWait, double costMs) {}

    /** What the choice depends on besides the upstreams. */
    record Requirements(
            ForwardRequest request,
            Option<EngineSpec> engine,
            int adapterVersion,
            Duration adapterLoad,
            String home,
            double msPerPromptToken,
            Set<String> avoid) {}

    /** Returns the first upstream in the rendezvous order of the request's adapter. */
    static String home(ForwardRequest request, Collection<UpstreamState> serving) {
        String best = "";
        if (request.adapter().isDefined() && !request.adapter().get().isBase()) {
            long key = RendezvousHash.keyHash(request.adapter().get().key());
            long most = Long.MIN_VALUE;
            for (UpstreamState u : serving) {
                long weight = RendezvousHash.weightOf(key, u.nameHash());
                if (weight >= most) {
                    most = weight;
                    best = u.id();
                }
            }
        }
        return best;
    }

    /** Returns the best upstream that has room; empty if none has. */
    Option<Choice> choose(Requirements demand, Collection<UpstreamState> upstreams) {
        Choice best = null;
        for (UpstreamState u : upstreams) {
            if (demand.avoid().contains(u.id()) || u.health().isPaused() || !hasRoom(demand, u)) {
                continue;
            }
            Choice c = rate(demand, u);
            if (!c.adapterReady() && u.areLoadsPaused()) {
                continue;
            }
            if (best == null || c.costMs() < best.costMs()) {
                best = c;
            }
        }
        return Option.of(best);
    }

    private Choice rate(Requirements demand, UpstreamState u) {
        boolean ready = isReady(demand, u);
        double cost = load(demand, u) * FULL_BATCH_MS;
        cost += u.health().failureRate() * FAILURE_MS;
        cost += u.totalUnreadTokens() * demand.msPerPromptToken();
        cost += random.nextDouble() * JITTER_MS;
        if (!u.upstream().dataCentre().equals(dataCentre)) {
            cost += REMOTE_MS;
        }
        double wait = ready ? 0 : waitForAdapter(demand, u);
        if (!ready) {
            cost += wait + priceOfLoad(demand, u);
        }
        return new Choice(u, ready, Duration.ofMillis(Math.round(wait)), cost);
    }

    private static boolean isReady(Requirements demand, UpstreamState u) {
        if (demand.engine().isEmpty()) {
            // A plain service holds no models, whatever the request names.
            return true;
        }
        return demand.request()
                .adapter()
                .forAll(
                        a ->
                                u.holdsModel(a.model())
                                        && (a.isBase() || u.holds(a, demand.adapterVersion())));
    }

    private static double waitForAdapter(Requirements demand, UpstreamState u) {
        double load = demand.adapterLoad().toMillis();
        AdapterRef adapter = demand.request().adapter().get();
        if (!u.holdsModel(adapter.model())) {
            // The weights must come first; only an engine that has just started lacks them.
            return 4 * load;
        }
        if (u.isLoading(adapter)) {
            return load / 2;
        }
        if (u.hasHeld(adapter)) {
            return load * AdapterLoadTime.REPEATED_LOAD;
        }
        // The average wait already holds the usual number of others; more of them wait in turn.
        return load * (1 + (double) u.loadingCount() / (2 * AdapterLoader.PARALLEL_LOADS));
    }

    private static double priceOfLoad(Requirements demand, UpstreamState u) {
        if (u.isLoading(demand.request().adapter().get())) {
            return 0;
        }
        if (u.hasHeld(demand.request().adapter().get())) {
            return LOAD_MS * AdapterLoadTime.REPEATED_LOAD;
        }
        return LOAD_MS - (u.id().equals(demand.home()) ? HOME_MS : 0);
    }

    /** Returns how full the upstream is; 1 when its batch or its memory is full. */
    static double load(Requirements demand, UpstreamState u) {
        int slots =
                Math.max(1, demand.engine().map(EngineSpec::slots).getOrElse(u.upstream().slots()));
        double bySlots = (double) u.totalRequests() / slots;
        double byMemory =
                demand.engine()
                        .map(e -> (double) u.totalTokens() / Math.max(1, e.memoryTokens()))
                        .getOrElse(0.0);
        return Math.max(bySlots, byMemory);
    }

    /**
     * Returns whether the upstream can begin the request soon. A plain service answers in a few
     * hundredths of a second, so one request may wait there for each that runs.
     */
    private static boolean hasRoom(Requirements demand, UpstreamState u) {
        if (demand.engine().isEmpty()) {
            return u.totalRequests() < 2 * Math.max(1, u.upstream().slots());
        }
        EngineSpec e = demand.engine().get();
        return u.sentRequests() < e.slots()
                && u.totalTokens() + demand.request().tokens() <= e.memoryTokens();
    }
}
