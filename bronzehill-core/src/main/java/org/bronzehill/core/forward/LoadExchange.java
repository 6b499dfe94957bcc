package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.ArrayList;
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
 * Exchanges load shares with the other instances: the requests that each instance has sent to each
 * upstream, the claims it holds, and the inventories of the claimed engines. In a small fleet every
 * instance sends its share to all others; in a large fleet it sends the share to the collector of
 * its data centre.
 */
final class LoadExchange {

    /**
     * Interval between rounds of messages, divided by the number of instances that exchange them.
     * An instance thus receives and sends at most 125 messages of a kind per second. At about 150
     * bytes each, one kind stays below 20 kB/s, the bound for control traffic.
     */
    static final Duration INTERVAL_PER_INSTANCE = Duration.ofMillis(8);

    /**
     * Largest fleet in which every instance sends its share to all others. At this size a share is
     * sent about every 200 ms, and a change of load takes as long to reach the others as it does
     * through two collectors.
     */
    private static final int MAX_DIRECT_FLEET_SIZE = 24;

    /** Minimum interval at which an unchanged share is repeated. */
    static final Duration REPEAT_INTERVAL = Duration.ofMillis(1000);

    /** Lifetime of a message in repetition intervals, so that two messages may be lost. */
    private static final double LIFETIME_INTERVALS = 2.5;

    /**
     * Size above which a share has no further inventories: a packet of 1,500 bytes, less room for
     * the adapters in use, names and headers. They follow in the next shares.
     */
    private static final int MAX_SHARE_BYTES = 1100;

    private final Membership membership;
    private final UpstreamTable upstreams;
    private final EngineController controller;
    private final TimeSource time;
    private final CollectorSelection collectors;
    private final LoadDigests digests;
    private final AdapterUsageExchange usageExchange;
    private final Map<String, Integer> sentInventoryVersions = new HashMap<>();
    private List<InstanceRef> previousLive = List.of();
    private LoadShare lastShare = LoadShare.getDefaultInstance();
    private String collector = "";
    private long sentClaimsVersion;
    private long repeatedAt;
    private long nextAt;
    private int firstClaim;

    /**
     * @param useListener receives the upstream and the adapter when requests of another instance
     *     begin or cease to use it
     */
    LoadExchange(
            Membership membership,
            UpstreamTable upstreams,
            EngineController controller,
            TimeSource time,
            SharedStoreState storeState,
            BiConsumer<String, AdapterRef> useListener) {
        this.membership = membership;
        this.upstreams = upstreams;
        this.controller = controller;
        this.time = time;
        this.usageExchange =
                new AdapterUsageExchange(upstreams, controller.claims(), time, useListener);
        this.collectors = new CollectorSelection(membership, time);
        this.digests =
                new LoadDigests(membership, upstreams, controller, collectors, storeState, time);
        this.nextAt = time.nanoTime();
        this.repeatedAt = nextAt;
        this.sentClaimsVersion = controller.claims().version();
    }

    /** Sends the shares that are due. Changed claims are sent at once. */
    void onTick(Effects out) {
        List<InstanceRef> live = membership.live();
        Set<InstanceRef> joined = newlyLive(live);
        sentInventoryVersions.keySet().removeIf(id -> upstreams.get(id) == null);
        if (!usesCollectors()) {
            sendToAll(live, joined, out);
        } else {
            sendToCollector(live, joined, out);
            usageExchange.onTick(out);
            digests.onTick(out);
        }
        previousLive = live;
        sentClaimsVersion = controller.claims().version();
    }

    private boolean usesCollectors() {
        return membership.live().size() > MAX_DIRECT_FLEET_SIZE;
    }

    private void sendToAll(List<InstanceRef> live, Set<InstanceRef> joined, Effects out) {
        long now = time.nanoTime();
        Duration interval = INTERVAL_PER_INSTANCE.multipliedBy(live.size());
        boolean claimsChanged = controller.claims().version() != sentClaimsVersion;
        if (claimsChanged || now - nextAt >= 0) {
            nextAt = now + interval.toNanos();
            boolean repeat = now - repeatedAt >= REPEAT_INTERVAL.toNanos();
            LoadShare share = build(repeat, true);
            if (claimsChanged || repeat || !share.equals(lastShare)) {
                repeatedAt = repeat ? now : repeatedAt;
                lastShare = withoutInventory(share);
                live.stream()
                        .filter(i -> !joined.contains(i))
                        .forEach(i -> sendShare(i.id(), withUses(share, i.id()), out));
            }
        }
        if (!joined.isEmpty()) {
            // New instances must know the existing claims before they make their own.
            LoadShare share = build(true, false);
            joined.forEach(i -> sendShare(i.id(), withUses(share, i.id()), out));
        }
    }

    private void sendToCollector(List<InstanceRef> live, Set<InstanceRef> joined, Effects out) {
        long now = time.nanoTime();
        boolean claimsChanged = controller.claims().version() != sentClaimsVersion;
        if (claimsChanged) {
            // Sent directly, since another instance could claim the same upstream while the change
            // passes through collectors.
            LoadShare share = shareWithoutLoads();
            live.forEach(i -> sendShare(i.id(), share, out));
        } else if (!joined.isEmpty() && !controller.claims().ownClaims().isEmpty()) {
            LoadShare share = shareWithoutLoads();
            joined.forEach(i -> sendShare(i.id(), share, out));
        }
        String selected = digests.isCollector() ? "" : collectors.ownCollector().getOrElse("");
        boolean collectorChanged = !selected.equals(collector);
        if (collectorChanged) {
            upstreams.all().forEach(u -> u.removePeerLoad(collector));
            collector = selected;
        }
        if (!selected.isEmpty() && (collectorChanged || claimsChanged || now - nextAt >= 0)) {
            nextAt =
                    now + INTERVAL_PER_INSTANCE.multipliedBy(collectors.dataCentreSize()).toNanos();
            boolean repeat = collectorChanged || now - repeatedAt >= REPEAT_INTERVAL.toNanos();
            LoadShare share = build(repeat, true);
            if (repeat || !share.equals(lastShare)) {
                repeatedAt = repeat ? now : repeatedAt;
                lastShare = withoutInventory(share);
                sendShare(selected, share, out);
            }
        }
    }

    /** Returns the instances that have become live since the last tick. */
    private Set<InstanceRef> newlyLive(List<InstanceRef> live) {
        if (live.equals(previousLive)) {
            return Set.of();
        }
        Set<InstanceRef> joined = new HashSet<>(live);
        previousLive.forEach(joined::remove);
        return joined;
    }

    /**
     * Returns the share without inventories, for comparison with the next one: inventories are sent
     * again only when they change, so the next share equals this one if nothing changes.
     */
    private static LoadShare withoutInventory(LoadShare share) {
        LoadShare.Builder b = share.toBuilder();
        b.getOrderedBuilderList()
                .forEach(
                        o ->
                                o.clearPlaces()
                                        .clearModels()
                                        .clearComplete()
                                        .clearStartedAtMs()
                                        .clearIdleSlots());
        return b.build();
    }

    private void sendShare(String peer, LoadShare share, Effects out) {
        if (!peer.equals(membership.self().id())) {
            Envelope.Builder envelope = Envelope.newBuilder().setLoadShare(share);
            out.add(new Effect.SendPeer(peer, envelope, false));
        }
    }

    private LoadShare.Builder newShare() {
        return LoadShare.newBuilder()
                .setValidMs((int) lifetime().toMillis())
                .setClaimsVersion(controller.claims().version());
    }

    private Duration lifetime() {
        Duration interval = INTERVAL_PER_INSTANCE.multipliedBy(membership.live().size());
        return lifetime(Collections.max(List.of(interval, REPEAT_INTERVAL)));
    }

    /** Returns the lifetime of a message that is repeated at the given interval. */
    static Duration lifetime(Duration repeat) {
        return Duration.ofNanos((long) (repeat.toNanos() * LIFETIME_INTERVALS));
    }

    /** Returns a share with the claims and the inventories of the claimed engines, but no loads. */
    private LoadShare shareWithoutLoads() {
        LoadShare.Builder share = newShare().setClaimsOnly(true);
        addClaims(share, true, false);
        return share.build();
    }

    /**
     * @param fullInventory whether to include the inventories of engines that have not changed
     * @param markSent whether the share goes to all receivers, so that the included inventories
     *     need not be sent again until they change
     */
    private LoadShare build(boolean fullInventory, boolean markSent) {
        LoadShare.Builder share = newShare();
        for (UpstreamState u : upstreams.all()) {
            if (u.ownRequests() > 0) {
                share.addLoads(u.toMessage(u.ownRequests(), u.ownTokens(), u.ownUnreadTokens()));
            }
        }
        addClaims(share, fullInventory, markSent);
        return share.build();
    }

    /** Adds the claims, and the inventories of their engines as far as they fit into a packet. */
    private void addClaims(LoadShare.Builder share, boolean fullInventory, boolean markSent) {
        List<Map.Entry<String, Long>> own =
                new ArrayList<>(controller.claims().ownClaims().entrySet());
        if (!own.isEmpty()) {
            Collections.rotate(own, firstClaim % own.size());
        }
        int bytes = share.build().getSerializedSize();
        for (Map.Entry<String, Long> claim : own) {
            UpstreamState u = upstreams.get(claim.getKey());
            OrderedUpstream message = ClaimMessages.claimOnly(claim.getKey(), claim.getValue());
            if (u != null && controller.hasReport(u)) {
                OrderedUpstream complete = ClaimMessages.complete(u, claim.getValue());
                boolean fits = bytes + complete.getSerializedSize() <= MAX_SHARE_BYTES;
                boolean isDue = fullInventory || isInventoryChanged(u);
                message =
                        isDue && fits ? complete : ClaimMessages.withIdleSlots(u, claim.getValue());
                // Another engine comes first next time, so that all get their turn.
                firstClaim += isDue && !fits ? 1 : 0;
                if (isDue && fits && markSent) {
                    sentInventoryVersions.put(u.id(), u.inventoryVersion());
                }
            }
            bytes += message.getSerializedSize();
            share.addOrdered(message);
        }
    }

    private boolean isInventoryChanged(UpstreamState u) {
        Integer known = sentInventoryVersions.get(u.id());
        return known == null || known != u.inventoryVersion();
    }

    /** Adds the adapters in use at the engines on which the peer holds the claim. */
    private LoadShare withUses(LoadShare share, String peer) {
        LoadShare.Builder b = share.toBuilder();
        for (UpstreamLoad.Builder load : b.getLoadsBuilderList()) {
            UpstreamState u = upstreams.get(load.getUpstreamHash());
            if (controller.claims().holder(u.id()).contains(peer)) {
                u.ownAdapters().forEach(a -> load.addAdapters(a.key()));
            }
        }
        return b.build();
    }

    /** Applies the share of another instance. */
    void onShare(String peer, LoadShare share, Effects out) {
        long validUntil = time.nanoTime() + Duration.ofMillis(share.getValidMs()).toNanos();
        if (!share.getClaimsOnly()) {
            upstreams.setPeerLoads(peer, share.getLoadsList(), validUntil);
            usageExchange.applyPeerUses(peer, share.getLoadsList(), validUntil);
        }
        Map<String, Long> claims = ClaimMessages.fencingByUpstream(share.getOrderedList());
        controller.claims().onPeerClaims(peer, share.getClaimsVersion(), claims, validUntil);
        share.getOrderedList().forEach(o -> applyInventory(peer, o));
        if (!share.getClaimsOnly() && usesCollectors()) {
            digests.onReport(peer, validUntil, out);
        }
    }

    private void applyInventory(String peer, OrderedUpstream ordered) {
        UpstreamState u = upstreams.get(ordered.getUpstream());
        if (u != null && controller.claims().holder(u.id()).contains(peer)) {
            ClaimMessages.apply(u, ordered);
        }
    }

    /** Applies the digest of a collector. */
    void onDigest(String from, LoadDigest digest) {
        if (usesCollectors()) {
            digests.onDigest(from, digest);
        }
    }

    /**
     * Reports the adapters in use at an engine to its claim holder, if that is another instance.
     */
    void onAdapterUseChanged(UpstreamState upstream, Effects out) {
        usageExchange.sendUses(upstream, out);
    }

    /** Applies the adapter uses of another instance. */
    void onAdapterUses(String from, AdapterUses message) {
        long validUntil = time.nanoTime() + Duration.ofMillis(message.getValidMs()).toNanos();
        usageExchange.applyPeerUses(from, message.getLoadsList(), validUntil);
    }
}
