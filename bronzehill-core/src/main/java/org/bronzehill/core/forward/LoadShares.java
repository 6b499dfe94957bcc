package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.AdapterPlace;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.LoadShare;
import org.bronzehill.protocol.generated.OrderedUpstream;
import org.bronzehill.protocol.generated.UpstreamLoad;

/** Tells the other instances what this one sends where, and takes over what they tell. */
final class LoadShares {

    /**
     * Interval between shares per live instance: an instance receives at most 250 of them a second,
     * however large the fleet is.
     */
    private static final Duration PER_INSTANCE = Duration.ofMillis(4);

    /** Interval at which an unchanged share is repeated; well below the lifetime of a share. */
    private static final Duration REPEAT = Duration.ofMillis(1000);

    private final Membership membership;
    private final UpstreamTable upstreams;
    private final OrderOffice office;
    private final TimeSource time;
    private final BiConsumer<String, AdapterRef> useListener;
    private final Map<String, OrderedUpstream> sentPlaces = new HashMap<>();
    private Set<InstanceRef> told = Set.of();
    private LoadShare last = LoadShare.getDefaultInstance();
    private long repeatedAt;
    private long nextAt;

    /**
     * @param useListener receives the upstream and adapter of requests of other instances
     */
    LoadShares(
            Membership membership,
            UpstreamTable upstreams,
            OrderOffice office,
            TimeSource time,
            BiConsumer<String, AdapterRef> useListener) {
        this.membership = membership;
        this.upstreams = upstreams;
        this.office = office;
        this.time = time;
        this.useListener = useListener;
        this.nextAt = time.nanoTime();
        this.repeatedAt = nextAt;
    }

    /** Sends the share if it is due. */
    void onTick(boolean atOnce, Effects out) {
        long now = time.nanoTime();
        // An instance that has just started must learn the claims before it makes its own.
        boolean joined = !told.containsAll(membership.live());
        if (!atOnce && !joined && now - nextAt < 0) {
            return;
        }
        told = Set.copyOf(membership.live());
        int live = membership.live().size();
        nextAt = now + PER_INSTANCE.toNanos() * live;
        boolean repeat = joined || now - repeatedAt >= REPEAT.toNanos();
        LoadShare share = build(repeat);
        if (!atOnce && !repeat && share.equals(last)) {
            return;
        }
        if (repeat) {
            repeatedAt = now;
        }
        // Without the adapters that were named just now, which are not named again.
        last = build(false);
        for (InstanceRef peer : membership.live()) {
            if (!peer.id().equals(membership.self().id())) {
                Envelope.Builder envelope =
                        Envelope.newBuilder().setLoadShare(withUses(share, peer.id()));
                out.add(new Effect.SendPeer(peer.id(), envelope, false));
            }
        }
    }

    /**
     * @param all whether to name the adapters of engines where nothing has changed
     */
    private LoadShare build(boolean all) {
        LoadShare.Builder share = LoadShare.newBuilder();
        for (UpstreamState u : upstreams.all()) {
            if (u.ownRequests() > 0) {
                UpstreamLoad.Builder load =
                        UpstreamLoad.newBuilder()
                                .setUpstream(u.id())
                                .setRequests(u.ownRequests())
                                .setTokens(u.ownTokens())
                                .setUnreadTokens(u.ownUnreadTokens());
                share.addLoads(load);
            }
        }
        office.claims().own().forEach((id, fencing) -> share.addOrdered(ordered(id, fencing, all)));
        return share.build();
    }

    /** Adds which adapters are in use at the engines that the peer gives orders to. */
    private LoadShare withUses(LoadShare share, String peer) {
        LoadShare.Builder b = share.toBuilder();
        for (UpstreamLoad.Builder load : b.getLoadsBuilderList()) {
            UpstreamState u = upstreams.get(load.getUpstream());
            if (office.claims().holder(u.id()).contains(peer)) {
                u.ownAdapters().forEach(a -> load.addAdapters(a.key()));
            }
        }
        return b.build();
    }

    private OrderedUpstream ordered(String id, long fencing, boolean all) {
        OrderedUpstream.Builder b =
                OrderedUpstream.newBuilder().setUpstream(id).setFencing(fencing);
        UpstreamState u = upstreams.get(id);
        if (u == null || !office.hasReport(u)) {
            return b.build();
        }
        OrderedUpstream claim = b.setStartedAtMs(u.upstream().startedAtMs()).build();
        b.addAllModels(u.models());
        u.adapters(false).forEach((a, v) -> b.addPlaces(place(a, v, false)));
        u.adapters(true).forEach((a, v) -> b.addPlaces(place(a, v, true)));
        OrderedUpstream full = b.setComplete(true).build();
        return full.equals(sentPlaces.put(id, full)) && !all ? claim : full;
    }

    private static AdapterPlace place(AdapterRef adapter, int version, boolean loading) {
        return AdapterPlace.newBuilder()
                .setAdapter(adapter.key())
                .setVersion(version)
                .setLoading(loading)
                .build();
    }

    /** Takes over the share of another instance. */
    void onShare(String peer, LoadShare share) {
        Set<String> named = new HashSet<>();
        for (UpstreamLoad load : share.getLoadsList()) {
            UpstreamState u = upstreams.get(load.getUpstream());
            if (u == null) {
                continue;
            }
            named.add(u.id());
            Set<AdapterRef> adapters = new HashSet<>();
            load.getAdaptersList().forEach(k -> AdapterRef.parse(k).forEach(adapters::add));
            u.onPeerLoad(
                    peer,
                    new UpstreamState.PeerLoad(
                            load.getRequests(),
                            load.getTokens(),
                            load.getUnreadTokens(),
                            adapters,
                            time.nanoTime()));
            adapters.forEach(a -> useListener.accept(u.id(), a));
        }
        upstreams.all().stream()
                .filter(u -> !named.contains(u.id()))
                .forEach(u -> u.dropPeer(peer));
        Map<String, Long> claims = new HashMap<>();
        for (OrderedUpstream ordered : share.getOrderedList()) {
            claims.put(ordered.getUpstream(), ordered.getFencing());
        }
        office.claims().onPeerClaims(peer, claims);
        share.getOrderedList().forEach(o -> takeOver(peer, o));
    }

    private void takeOver(String peer, OrderedUpstream ordered) {
        UpstreamState u = upstreams.get(ordered.getUpstream());
        if (u == null
                || !ordered.getComplete()
                || u.upstream().startedAtMs() != ordered.getStartedAtMs()
                || !office.claims().holder(u.id()).contains(peer)) {
            return;
        }
        Map<AdapterRef, Integer> held = new HashMap<>();
        Map<AdapterRef, Integer> coming = new HashMap<>();
        for (AdapterPlace p : ordered.getPlacesList()) {
            AdapterRef.parse(p.getAdapter())
                    .forEach(a -> (p.getLoading() ? coming : held).put(a, p.getVersion()));
        }
        u.setModels(Set.copyOf(ordered.getModelsList()));
        u.setAdapters(held, coming);
    }
}
