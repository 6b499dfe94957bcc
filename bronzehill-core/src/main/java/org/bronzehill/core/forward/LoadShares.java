package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
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
     * Interval between shares per live instance: an instance receives at most 125 of them a second,
     * however large the fleet is, which at some 150 bytes each is the 20 kB/s that control may
     * cost.
     */
    private static final Duration PER_INSTANCE = Duration.ofMillis(8);

    /** Shortest interval at which an unchanged share is repeated. */
    private static final Duration REPEAT = Duration.ofMillis(1000);

    /** Lifetime of a share in intervals between repetitions: two of them may be lost. */
    private static final double LIFETIME = 2.5;

    private final Membership membership;
    private final UpstreamTable upstreams;
    private final OrderOffice office;
    private final TimeSource time;
    private final BiConsumer<String, AdapterRef> useListener;
    private final Map<String, OrderedUpstream> sentPlaces = new HashMap<>();
    private List<InstanceRef> told = List.of();
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

    /** Sends the share to all if it is due, and at once to instances that have just joined. */
    void onTick(boolean atOnce, Effects out) {
        long now = time.nanoTime();
        List<InstanceRef> live = membership.live();
        Set<InstanceRef> joined = joined(live);
        Duration interval = PER_INSTANCE.multipliedBy(live.size());
        Duration repeatAfter = interval.compareTo(REPEAT) > 0 ? interval : REPEAT;
        Duration lifetime = Duration.ofNanos((long) (repeatAfter.toNanos() * LIFETIME));
        if (atOnce || now - nextAt >= 0) {
            nextAt = now + interval.toNanos();
            boolean repeat = now - repeatedAt >= repeatAfter.toNanos();
            LoadShare share = build(repeat, true, lifetime);
            if (atOnce || repeat || !share.equals(last)) {
                repeatedAt = repeat ? now : repeatedAt;
                last = withoutPlaces(share);
                send(share, live.stream().filter(i -> !joined.contains(i)).toList(), out);
            }
        }
        if (!joined.isEmpty()) {
            // They must learn the claims before they make their own.
            send(build(true, false, lifetime), joined, out);
        }
        told = live;
    }

    /** Returns the instances that have got no share yet. */
    private Set<InstanceRef> joined(List<InstanceRef> live) {
        if (live.equals(told)) {
            return Set.of();
        }
        Set<InstanceRef> joined = new HashSet<>(live);
        told.forEach(joined::remove);
        return joined;
    }

    /** Returns the share as it is due next if nothing changes: places are not named again. */
    private static LoadShare withoutPlaces(LoadShare share) {
        LoadShare.Builder b = share.toBuilder();
        b.getOrderedBuilderList().forEach(o -> o.clearPlaces().clearModels().clearComplete());
        return b.build();
    }

    private void send(LoadShare share, Collection<InstanceRef> peers, Effects out) {
        for (InstanceRef peer : peers) {
            if (!peer.id().equals(membership.self().id())) {
                Envelope.Builder envelope =
                        Envelope.newBuilder().setLoadShare(withUses(share, peer.id()));
                out.add(new Effect.SendPeer(peer.id(), envelope, false));
            }
        }
    }

    /**
     * @param all whether to name the adapters of engines where nothing has changed
     * @param remember whether all instances will know what is named
     */
    private LoadShare build(boolean all, boolean remember, Duration lifetime) {
        LoadShare.Builder share = LoadShare.newBuilder().setValidMs((int) lifetime.toMillis());
        for (UpstreamState u : upstreams.all()) {
            if (u.ownRequests() > 0) {
                UpstreamLoad.Builder load =
                        UpstreamLoad.newBuilder()
                                .setUpstreamHash(u.shortHash())
                                .setRequests(u.ownRequests())
                                .setTokens(u.ownTokens())
                                .setUnreadTokens(u.ownUnreadTokens());
                share.addLoads(load);
            }
        }
        office.claims()
                .own()
                .forEach((id, fencing) -> share.addOrdered(ordered(id, fencing, all, remember)));
        return share.build();
    }

    /** Adds which adapters are in use at the engines that the peer gives orders to. */
    private LoadShare withUses(LoadShare share, String peer) {
        LoadShare.Builder b = share.toBuilder();
        for (UpstreamLoad.Builder load : b.getLoadsBuilderList()) {
            UpstreamState u = upstreams.get(load.getUpstreamHash());
            if (office.claims().holder(u.id()).contains(peer)) {
                u.ownAdapters().forEach(a -> load.addAdapters(a.key()));
            }
        }
        return b.build();
    }

    private OrderedUpstream ordered(String id, long fencing, boolean all, boolean remember) {
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
        OrderedUpstream known = remember ? sentPlaces.put(id, full) : sentPlaces.get(id);
        return full.equals(known) && !all ? claim : full;
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
        long validUntil = time.nanoTime() + Duration.ofMillis(share.getValidMs()).toNanos();
        Set<String> named = new HashSet<>();
        for (UpstreamLoad load : share.getLoadsList()) {
            UpstreamState u = upstreams.get(load.getUpstreamHash());
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
                            validUntil));
            adapters.forEach(a -> useListener.accept(u.id(), a));
        }
        upstreams.all().stream()
                .filter(u -> !named.contains(u.id()))
                .forEach(u -> u.dropPeer(peer));
        Map<String, Long> claims = new HashMap<>();
        for (OrderedUpstream ordered : share.getOrderedList()) {
            claims.put(ordered.getUpstream(), ordered.getFencing());
        }
        office.claims().onPeerClaims(peer, claims, validUntil);
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
