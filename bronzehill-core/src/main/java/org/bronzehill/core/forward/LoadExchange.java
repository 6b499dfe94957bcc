package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.Collections;
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
import org.bronzehill.protocol.generated.AdapterUses;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.LoadDigest;
import org.bronzehill.protocol.generated.LoadShare;
import org.bronzehill.protocol.generated.OrderedUpstream;
import org.bronzehill.protocol.generated.UpstreamLoad;

/**
 * Tells the other instances what this one sends where, and takes over what they tell. In a small
 * fleet every instance tells all others; in a large one it tells the collector of its data centre.
 */
final class LoadExchange {

    /**
     * Interval between messages per receiver or sender of them: an instance receives and sends at
     * most 125 of a kind in a second, which at some 150 bytes each is the 20 kB/s that control may
     * cost.
     */
    static final Duration PER_INSTANCE = Duration.ofMillis(8);

    /**
     * Largest fleet in which everybody tells everybody; a share every 200 ms at this size is as old
     * as one that goes through two collectors.
     */
    private static final int DIRECT_FLEET = 24;

    /** Shortest interval at which an unchanged share is repeated. */
    static final Duration REPEAT = Duration.ofMillis(1000);

    /** Lifetime of a message in intervals between repetitions: two of them may be lost. */
    private static final double LIFETIME = 2.5;

    private final Membership membership;
    private final UpstreamTable upstreams;
    private final EngineController office;
    private final TimeSource time;
    private final CollectorSelection collectors;
    private final LoadDigests digests;
    private final AdapterUsageExchange uses;
    private final Map<String, Integer> sentPlaces = new HashMap<>();
    private List<InstanceRef> told = List.of();
    private LoadShare last = LoadShare.getDefaultInstance();
    private String collector = "";
    private long toldVersion;
    private long repeatedAt;
    private long nextAt;

    /**
     * @param useListener receives the upstream and adapter of requests of other instances
     */
    LoadExchange(
            Membership membership,
            UpstreamTable upstreams,
            EngineController office,
            TimeSource time,
            SharedStoreState news,
            BiConsumer<String, AdapterRef> useListener) {
        this.membership = membership;
        this.upstreams = upstreams;
        this.office = office;
        this.time = time;
        this.uses = new AdapterUsageExchange(upstreams, office.claims(), time, useListener);
        this.collectors = new CollectorSelection(membership, time);
        this.digests = new LoadDigests(membership, upstreams, office, collectors, news, time);
        this.nextAt = time.nanoTime();
        this.repeatedAt = nextAt;
        this.toldVersion = office.claims().version();
    }

    /** Sends what is due, and changed claims at once. */
    void onTick(Effects out) {
        List<InstanceRef> live = membership.live();
        Set<InstanceRef> joined = joined(live);
        sentPlaces.keySet().removeIf(id -> upstreams.get(id) == null);
        if (!hasCollectors()) {
            tellAll(live, joined, out);
        } else {
            tellCollector(live, joined, out);
            uses.onTick(out);
            digests.onTick(out);
        }
        told = live;
        toldVersion = office.claims().version();
    }

    private boolean hasCollectors() {
        return membership.live().size() > DIRECT_FLEET;
    }

    private void tellAll(List<InstanceRef> live, Set<InstanceRef> joined, Effects out) {
        long now = time.nanoTime();
        Duration interval = PER_INSTANCE.multipliedBy(live.size());
        boolean claimsChanged = office.claims().version() != toldVersion;
        if (claimsChanged || now - nextAt >= 0) {
            nextAt = now + interval.toNanos();
            boolean repeat = now - repeatedAt >= REPEAT.toNanos();
            LoadShare share = build(repeat, true);
            if (claimsChanged || repeat || !share.equals(last)) {
                repeatedAt = repeat ? now : repeatedAt;
                last = withoutPlaces(share);
                live.stream()
                        .filter(i -> !joined.contains(i))
                        .forEach(i -> sendShare(i.id(), withUses(share, i.id()), out));
            }
        }
        if (!joined.isEmpty()) {
            // They must learn the claims before they make their own.
            LoadShare share = build(true, false);
            joined.forEach(i -> sendShare(i.id(), withUses(share, i.id()), out));
        }
    }

    private void tellCollector(List<InstanceRef> live, Set<InstanceRef> joined, Effects out) {
        long now = time.nanoTime();
        boolean claimsChanged = office.claims().version() != toldVersion;
        if (claimsChanged) {
            // Another instance could claim the same upstream while the news is on its way.
            LoadShare share = claimsOnly();
            live.forEach(i -> sendShare(i.id(), share, out));
        } else if (!joined.isEmpty() && !office.claims().own().isEmpty()) {
            LoadShare share = claimsOnly();
            joined.forEach(i -> sendShare(i.id(), share, out));
        }
        String mine = digests.isCollector() ? "" : collectors.mine().getOrElse("");
        boolean another = !mine.equals(collector);
        if (another) {
            upstreams.all().forEach(u -> u.dropPeer(collector));
            collector = mine;
        }
        if (!mine.isEmpty() && (another || claimsChanged || now - nextAt >= 0)) {
            nextAt = now + PER_INSTANCE.multipliedBy(collectors.neighbours()).toNanos();
            boolean repeat = another || now - repeatedAt >= REPEAT.toNanos();
            LoadShare share = build(repeat, true);
            if (repeat || !share.equals(last)) {
                repeatedAt = repeat ? now : repeatedAt;
                last = withoutPlaces(share);
                sendShare(mine, share, out);
            }
        }
    }

    /** Returns the instances that were not live at the last tick. */
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
        b.getOrderedBuilderList()
                .forEach(o -> o.clearPlaces().clearModels().clearComplete().clearStartedAtMs());
        return b.build();
    }

    private void sendShare(String peer, LoadShare share, Effects out) {
        if (!peer.equals(membership.self().id())) {
            Envelope.Builder envelope = Envelope.newBuilder().setLoadShare(share);
            out.add(new Effect.SendPeer(peer, envelope, false));
        }
    }

    private LoadShare.Builder empty() {
        return LoadShare.newBuilder()
                .setValidMs((int) lifetime().toMillis())
                .setClaimsVersion(office.claims().version());
    }

    private Duration lifetime() {
        Duration interval = PER_INSTANCE.multipliedBy(membership.live().size());
        return lifetime(Collections.max(List.of(interval, REPEAT)));
    }

    /** Returns the time for which a message counts that is repeated at an interval. */
    static Duration lifetime(Duration repeat) {
        return Duration.ofNanos((long) (repeat.toNanos() * LIFETIME));
    }

    /** Returns a share with the present claims and what their engines hold. */
    private LoadShare claimsOnly() {
        LoadShare.Builder share = empty().setClaimsOnly(true);
        addClaims(share, true, false);
        return share.build();
    }

    /**
     * @param all whether to name the adapters of engines where nothing has changed
     * @param remember whether all receivers of shares will know what is named
     */
    private LoadShare build(boolean all, boolean remember) {
        LoadShare.Builder share = empty();
        for (UpstreamState u : upstreams.all()) {
            if (u.ownRequests() > 0) {
                share.addLoads(u.toMessage(u.ownRequests(), u.ownTokens(), u.ownUnreadTokens()));
            }
        }
        addClaims(share, all, remember);
        return share.build();
    }

    private void addClaims(LoadShare.Builder share, boolean all, boolean remember) {
        office.claims()
                .own()
                .forEach((id, fencing) -> share.addOrdered(ordered(id, fencing, all, remember)));
    }

    private OrderedUpstream ordered(String id, long fencing, boolean all, boolean remember) {
        UpstreamState u = upstreams.get(id);
        if (u == null || !office.hasReport(u)) {
            return EngineInventory.claim(id, fencing);
        }
        Integer known = remember ? sentPlaces.put(id, u.placesVersion()) : sentPlaces.get(id);
        boolean changed = known == null || known != u.placesVersion();
        return changed || all
                ? EngineInventory.complete(u, fencing)
                : EngineInventory.claim(id, fencing);
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

    /** Takes over the share of another instance. */
    void onShare(String peer, LoadShare share, Effects out) {
        long validUntil = time.nanoTime() + Duration.ofMillis(share.getValidMs()).toNanos();
        if (!share.getClaimsOnly()) {
            upstreams.onPeerLoads(peer, share.getLoadsList(), validUntil);
            uses.takeOver(peer, share.getLoadsList(), validUntil);
        }
        Map<String, Long> claims = EngineInventory.fencing(share.getOrderedList());
        office.claims().onPeerClaims(peer, share.getClaimsVersion(), claims, validUntil);
        share.getOrderedList().forEach(o -> takeOverPlaces(peer, o));
        if (!share.getClaimsOnly() && hasCollectors()) {
            digests.onReport(peer, validUntil, out);
        }
    }

    private void takeOverPlaces(String peer, OrderedUpstream ordered) {
        UpstreamState u = upstreams.get(ordered.getUpstream());
        if (u != null && office.claims().holder(u.id()).contains(peer)) {
            EngineInventory.takeOver(u, ordered);
        }
    }

    /** Takes over the digest of a collector. */
    void onDigest(String from, LoadDigest digest) {
        if (hasCollectors()) {
            digests.onDigest(from, digest);
        }
    }

    /** Takes over which adapters another instance uses. */
    void onUses(String from, AdapterUses message) {
        long validUntil = time.nanoTime() + Duration.ofMillis(message.getValidMs()).toNanos();
        uses.takeOver(from, message.getLoadsList(), validUntil);
    }
}
