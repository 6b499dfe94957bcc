package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.InstanceClaims;
import org.bronzehill.protocol.generated.LoadDigest;
import org.bronzehill.protocol.generated.OrderedUpstream;
import org.bronzehill.protocol.generated.UpstreamLoad;

/**
 * Builds and applies the load digests of collectors. A collector sums the loads that the instances
 * of its data centre report, exchanges the sums with the collectors of the other data centres, and
 * sends the totals to the instances that report to it.
 */
final class LoadDigests {

    /**
     * Interval at which an unchanged digest is repeated; longer if the collector has so many
     * reporters that its rounds take longer.
     */
    static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);

    /**
     * Largest size of the inventories in a digest that is sent regularly. A collector sends 125
     * digests a second in all, so this takes a quarter of a link of 10 Mbit/s, the narrowest on
     * which instances run. Inventories that do not fit wait for the next digest.
     */
    static final int MAX_INVENTORY_BYTES = 2400;

    /**
     * Part of this instance's link that digests may take. Its calls to the store and to upstreams
     * and the answers to its callers share the link.
     */
    private static final double MAX_LINK_FRACTION = 0.25;

    /**
     * Number of repetitions over which the inventories of all engines are sent again in full, for
     * receivers that have missed changes.
     */
    private static final int INVENTORY_ROUNDS = 32;

    private final Membership membership;
    private final UpstreamTable upstreams;
    private final EngineController controller;
    private final OrderClaims claims;
    private final CollectorSelection collectors;
    private final SharedStoreState storeState;
    private final TimeSource time;
    private final Map<String, Long> reporters = new HashMap<>();
    private final Map<String, Long> otherCollectors = new HashMap<>();
    private final LastSent sentToReporters = new LastSent();
    private final LastSent sentToCollectors = new LastSent();
    private long nextAt;
    private long repeatedAt;
    private long sentBytes;

    /** State last sent to the receivers of one kind of digest. */
    private static final class LastSent {
        /** Inventories by engine; those that were sent least recently come first. */
        private final Map<String, SentInventory> inventories = new LinkedHashMap<>();

        private int nextRepeated;
        private List<UpstreamLoad> loads = List.of();
        private StorePosition newestPosition = StorePosition.NONE;
        private boolean storeResponding;

        private void markSent(UpstreamState u, long fencing) {
            inventories.remove(u.id());
            inventories.put(u.id(), SentInventory.of(u, fencing));
        }

        /** Updates the state of the store to be sent. Returns whether it has changed. */
        private boolean updateStoreState(SharedStoreState storeState) {
            boolean changed =
                    !newestPosition.equals(storeState.newestPosition())
                            || storeResponding != storeState.isResponding();
            newestPosition = storeState.newestPosition();
            storeResponding = storeState.isResponding();
            return changed;
        }
    }

    LoadDigests(
            Membership membership,
            UpstreamTable upstreams,
            EngineController controller,
            CollectorSelection collectors,
            SharedStoreState storeState,
            TimeSource time) {
        this.membership = membership;
        this.upstreams = upstreams;
        this.controller = controller;
        this.claims = controller.claims();
        this.collectors = collectors;
        this.storeState = storeState;
        this.time = time;
        this.nextAt = time.nanoTime();
        this.repeatedAt = nextAt;
    }

    /** Returns whether this instance collects the loads of others, or is selected to do so. */
    boolean isCollector() {
        return !reporters.isEmpty() || collectors.ownCollector().isEmpty();
    }

    /**
     * Records that another instance reports its load to this one, and sends a digest to a new
     * reporter.
     */
    void onReport(String from, long validUntil, Effects out) {
        otherCollectors.remove(from);
        if (reporters.put(from, validUntil) == null && isCollector()) {
            sendParts(
                    List.of(from),
                    digest(loadsExcept(from)),
                    allInventories(claimHolders()),
                    claimsOf(claimHolders()),
                    out);
        }
    }

    /** Sends the digests that are due. */
    void onTick(Effects out) {
        long now = time.nanoTime();
        reporters.values().removeIf(until -> until - now < 0);
        otherCollectors.values().removeIf(until -> until - now < 0);
        if (!isCollector() || now - nextAt < 0) {
            return;
        }
        boolean repeat = now - repeatedAt >= REPEAT_INTERVAL.toNanos();
        if (repeat) {
            repeatedAt = now;
            removeUnlisted();
        }
        sentBytes = 0;
        sendToCollectors(repeat, out);
        sendToReporters(repeat, out);
        nextAt = now + roundInterval().toNanos();
    }

    /** Returns the time until the next digests, which leaves room on the link for other traffic. */
    private Duration roundInterval() {
        Duration interval = LoadExchange.INTERVAL_PER_INSTANCE.multipliedBy(reporters.size() + 1L);
        int linkMbps = membership.self().linkMbps();
        if (linkMbps == 0) {
            return interval;
        }
        double bytesPerMilli = linkMbps * 1000.0 / Byte.SIZE * MAX_LINK_FRACTION;
        Duration paced = Duration.ofMillis((long) (sentBytes / bytesPerMilli));
        Duration longest = Collections.max(List.of(interval, REPEAT_INTERVAL));
        return Collections.min(List.of(longest, Collections.max(List.of(interval, paced))));
    }

    private void removeUnlisted() {
        sentToReporters.inventories.keySet().removeIf(id -> upstreams.get(id) == null);
        sentToCollectors.inventories.keySet().removeIf(id -> upstreams.get(id) == null);
    }

    private void sendToCollectors(boolean repeat, Effects out) {
        List<UpstreamLoad> sums = reportedLoads();
        Set<String> holders = new HashSet<>(reporters.keySet());
        holders.add(membership.self().id());
        List<OrderedUpstream> inventories = dueInventories(sentToCollectors, holders, repeat);
        boolean changed =
                sentToCollectors.updateStoreState(storeState)
                        || !sums.equals(sentToCollectors.loads);
        if (!repeat && inventories.isEmpty() && !changed) {
            return;
        }
        sentToCollectors.loads = sums;
        Set<String> receivers = new HashSet<>(collectors.firstRankedPeers());
        receivers.addAll(otherCollectors.keySet());
        List<InstanceClaims> claimsToSend = repeat ? claimsOf(holders) : List.of();
        sendParts(
                receivers, digest(sums).setBetweenCollectors(true), inventories, claimsToSend, out);
    }

    private void sendToReporters(boolean repeat, Effects out) {
        List<UpstreamLoad> totals = loadsExcept("");
        List<OrderedUpstream> inventories = dueInventories(sentToReporters, claimHolders(), repeat);
        boolean changed =
                sentToReporters.updateStoreState(storeState)
                        || !totals.equals(sentToReporters.loads);
        if (!repeat && inventories.isEmpty() && !changed) {
            return;
        }
        sentToReporters.loads = totals;
        List<InstanceClaims> claimsToSend = repeat ? claimsOf(claimHolders()) : List.of();
        for (String r : reporters.keySet()) {
            sendParts(List.of(r), digest(loadsExcept(r)), inventories, claimsToSend, out);
        }
    }

    private Set<String> claimHolders() {
        Set<String> holders = new HashSet<>();
        holders.add(membership.self().id());
        claims.currentPeerClaims().forEach(peer -> holders.add(peer.instance()));
        return holders;
    }

    /** Returns the loads that this instance and its reporters have sent to each upstream. */
    private List<UpstreamLoad> reportedLoads() {
        List<UpstreamLoad> sums = new ArrayList<>();
        for (UpstreamState u : upstreams.all()) {
            int requests = u.ownRequests();
            long tokens = u.ownTokens();
            long unread = u.ownUnreadTokens();
            for (String r : reporters.keySet()) {
                UpstreamState.PeerLoad p = u.peerLoad(r);
                requests += p.requests();
                tokens += p.tokens();
                unread += p.unreadTokens();
            }
            add(u, requests, tokens, unread, sums);
        }
        return sums;
    }

    /** Returns the loads that all instances except one have sent to each upstream. */
    private List<UpstreamLoad> loadsExcept(String excluded) {
        List<UpstreamLoad> totals = new ArrayList<>();
        for (UpstreamState u : upstreams.all()) {
            UpstreamState.PeerLoad p = u.peerLoad(excluded);
            add(
                    u,
                    u.totalRequests() - p.requests(),
                    u.totalTokens() - p.tokens(),
                    u.totalUnreadTokens() - p.unreadTokens(),
                    totals);
        }
        return totals;
    }

    private static void add(
            UpstreamState u, int requests, long tokens, long unread, List<UpstreamLoad> into) {
        if (requests > 0) {
            into.add(u.toMessage(requests, tokens, unread));
        }
    }

    /** Returns the complete inventories of all engines whose claims the instances hold. */
    private List<OrderedUpstream> allInventories(Set<String> holders) {
        List<OrderedUpstream> found = new ArrayList<>();
        for (UpstreamState u : upstreams.all()) {
            claimWithInventory(u)
                    .filter(c -> holders.contains(c.instance()))
                    .forEach(c -> found.add(ClaimMessages.complete(u, c.fencing())));
        }
        return found;
    }

    /**
     * Returns what has changed in the inventories since they were last sent, and in repetitions
     * some complete ones in turn. Inventories that exceed {@link #MAX_INVENTORY_BYTES} remain due.
     */
    private List<OrderedUpstream> dueInventories(
            LastSent lastSent, Set<String> holders, boolean repeat) {
        List<OrderedUpstream> found = new ArrayList<>();
        List<UpstreamState> all = List.copyOf(upstreams.all());
        int bytes = 0;
        int repeated = repeat ? (all.size() + INVENTORY_ROUNDS - 1) / INVENTORY_ROUNDS : 0;
        for (int i = 0; i < repeated; i++) {
            UpstreamState u = all.get(lastSent.nextRepeated++ % all.size());
            Option<Claim> claim = claimWithInventory(u).filter(c -> holders.contains(c.instance()));
            if (claim.isDefined()) {
                lastSent.markSent(u, claim.get().fencing());
                found.add(ClaimMessages.complete(u, claim.get().fencing()));
                bytes += found.get(found.size() - 1).getSerializedSize();
            }
        }
        for (UpstreamState u : leastRecentlySentFirst(lastSent, all)) {
            Option<Claim> claim = claimWithInventory(u).filter(c -> holders.contains(c.instance()));
            if (claim.isDefined() && bytes < MAX_INVENTORY_BYTES) {
                Option<OrderedUpstream> changes = changes(u, claim.get().fencing(), lastSent);
                found.addAll(changes.toJavaList());
                bytes += changes.map(OrderedUpstream::getSerializedSize).getOrElse(0);
            }
        }
        return found;
    }

    /** Returns the inventory if it has changed, and marks it as sent. */
    private static Option<OrderedUpstream> changes(
            UpstreamState u, long fencing, LastSent lastSent) {
        SentInventory sent = lastSent.inventories.get(u.id());
        if (sent != null && sent.fencing() == fencing && sent.version() == u.inventoryVersion()) {
            return Option.none();
        }
        boolean hasBase = sent != null && sent.isBaseFor(u, fencing);
        lastSent.markSent(u, fencing);
        return Option.of(
                hasBase
                        ? ClaimMessages.changes(u, fencing, sent)
                        : ClaimMessages.complete(u, fencing));
    }

    /** Returns the engines in the order in which their inventories were sent. */
    private List<UpstreamState> leastRecentlySentFirst(LastSent lastSent, List<UpstreamState> all) {
        List<UpstreamState> ordered = new ArrayList<>(all);
        ordered.removeIf(u -> lastSent.inventories.containsKey(u.id()));
        lastSent.inventories.keySet().forEach(id -> ordered.add(upstreams.get(id)));
        ordered.removeIf(Objects::isNull);
        return ordered;
    }

    /** Returns the claim on an engine if the holder of this claim has reported the inventory. */
    private Option<Claim> claimWithInventory(UpstreamState u) {
        return claims.claim(u.id())
                .filter(
                        c ->
                                claims.holds(u.id())
                                        ? controller.hasReport(u)
                                        : u.inventoryFencing() == c.fencing());
    }

    private LoadDigest.Builder digest(List<UpstreamLoad> loads) {
        StorePosition newest = storeState.newestPosition();
        return LoadDigest.newBuilder()
                .setValidMs((int) LoadExchange.lifetime(REPEAT_INTERVAL).toMillis())
                .addAllLoads(loads)
                .setStoreEra(newest.era())
                .setNewsRevision(newest.revision())
                .setStoreAnswers(storeState.isResponding())
                .setStoreReturnedMs(storeState.millisSinceRecovery());
    }

    /** Sends a digest, split into as many parts as needed to fit into packets. */
    private void sendParts(
            Collection<String> receivers,
            LoadDigest.Builder first,
            List<OrderedUpstream> inventories,
            List<InstanceClaims> claims,
            Effects out) {
        DigestParts parts = new DigestParts(first);
        inventories.forEach(p -> parts.partFor(p).addPlaces(p));
        claims.forEach(c -> parts.partFor(c).addClaims(c));
        List<LoadDigest> all = parts.finish();
        receivers.forEach(r -> all.forEach(p -> send(r, p, out)));
    }

    private List<InstanceClaims> claimsOf(Set<String> holders) {
        List<InstanceClaims> found = new ArrayList<>();
        claims.currentPeerClaims().stream()
                .filter(peer -> holders.contains(peer.instance()))
                .forEach(peer -> found.add(claimsOf(peer)));
        Duration lifetime = LoadExchange.lifetime(LoadExchange.REPEAT_INTERVAL);
        String self = membership.self().id();
        found.add(
                claimsOf(
                        new OrderClaims.ClaimsOfInstance(
                                self, claims.version(), claims.ownClaims(), lifetime)));
        return found;
    }

    private static InstanceClaims claimsOf(OrderClaims.ClaimsOfInstance instanceClaims) {
        InstanceClaims.Builder b =
                InstanceClaims.newBuilder()
                        .setInstance(instanceClaims.instance())
                        .setClaimsVersion(instanceClaims.version())
                        .setValidMs((int) instanceClaims.validFor().toMillis());
        instanceClaims
                .fencingByUpstream()
                .forEach((u, f) -> b.addOrdered(ClaimMessages.claimOnly(u, f)));
        return b.build();
    }

    private void send(String to, LoadDigest digest, Effects out) {
        sentBytes += digest.getSerializedSize();
        Envelope.Builder envelope = Envelope.newBuilder().setLoadDigest(digest);
        out.add(new Effect.SendPeer(to, envelope, false));
    }

    /** Applies the digest of a collector. */
    void onDigest(String from, LoadDigest digest) {
        long now = time.nanoTime();
        long validUntil = now + Duration.ofMillis(digest.getValidMs()).toNanos();
        if (digest.getBetweenCollectors()) {
            reporters.remove(from);
            otherCollectors.put(from, validUntil);
        } else {
            collectors.onDigest(from);
        }
        boolean fromOwnCollector =
                !digest.getBetweenCollectors() && collectors.ownCollector().contains(from);
        StorePosition newest = new StorePosition(digest.getStoreEra(), digest.getNewsRevision());
        storeState.onDigest(newest, digest.getStoreAnswers(), fromOwnCollector);
        if (fromOwnCollector && storeState.onRecoveryReported(digest.getStoreReturnedMs())) {
            upstreams.onStoreRecovered();
        }
        // Each load counts once: a collector takes loads from other collectors, and any other
        // instance from its own collector.
        boolean usesLoads = digest.getBetweenCollectors() ? isCollector() : fromOwnCollector;
        if (usesLoads && !digest.getFurtherPart()) {
            upstreams.setPeerLoads(from, digest.getLoadsList(), validUntil);
        }
        for (InstanceClaims c : digest.getClaimsList()) {
            if (!c.getInstance().equals(membership.self().id())) {
                Map<String, Long> fencing = ClaimMessages.fencingByUpstream(c.getOrderedList());
                long until = now + Duration.ofMillis(c.getValidMs()).toNanos();
                claims.onPeerClaims(c.getInstance(), c.getClaimsVersion(), fencing, until);
            }
        }
        digest.getPlacesList().forEach(this::applyInventory);
    }

    private void applyInventory(OrderedUpstream ordered) {
        UpstreamState u = upstreams.get(ordered.getUpstream());
        if (u != null
                && !claims.holds(u.id())
                && claims.claim(u.id()).exists(c -> c.fencing() == ordered.getFencing())) {
            ClaimMessages.apply(u, ordered);
        }
    }
}
