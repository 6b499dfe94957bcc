package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * Sums the loads that the instances of a data centre report to this one, exchanges the sums with
 * the collectors of the other data centres, and tells the total to those that report here.
 *
 * <p>Answers a large fleet: where everybody tells everybody, the messages grow with the square of
 * the fleet, or their age with the fleet.
 */
final class LoadDigests {

    /** Longest interval between digests; an unchanged one is repeated then. */
    static final Duration REPEAT = Duration.ofMillis(500);

    /** Repetitions in which what every engine holds is told again. */
    private static final int TURNS = 8;

    private final Membership membership;
    private final UpstreamTable upstreams;
    private final EngineController office;
    private final OrderClaims claims;
    private final CollectorSelection collectors;
    private final SharedStoreState news;
    private final TimeSource time;
    private final Map<String, Long> reporters = new HashMap<>();
    private final Map<String, Long> others = new HashMap<>();
    private final LastSent toReporters = new LastSent();
    private final LastSent toCollectors = new LastSent();
    private long nextAt;
    private long repeatedAt;
    private int turn;

    /** What was told last to the receivers of one kind of digest. */
    private static final class LastSent {
        private final Map<String, Integer> placesVersions = new HashMap<>();
        private List<UpstreamLoad> loads = List.of();
        private long newsRevision;
        private boolean storeAnswers;

        /** Notes what is told of the store; returns whether it has changed. */
        private boolean tell(SharedStoreState news) {
            boolean changed = newsRevision != news.revision() || storeAnswers != news.isAnswering();
            newsRevision = news.revision();
            storeAnswers = news.isAnswering();
            return changed;
        }
    }

    LoadDigests(
            Membership membership,
            UpstreamTable upstreams,
            EngineController office,
            CollectorSelection collectors,
            SharedStoreState news,
            TimeSource time) {
        this.membership = membership;
        this.upstreams = upstreams;
        this.office = office;
        this.claims = office.claims();
        this.collectors = collectors;
        this.news = news;
        this.time = time;
        this.nextAt = time.nanoTime();
        this.repeatedAt = nextAt;
    }

    /** Returns whether this instance collects the loads of others, or is the one to do so. */
    boolean isCollector() {
        return !reporters.isEmpty() || collectors.mine().isEmpty();
    }

    /** Notes that another instance reports its load here. */
    void onReport(String from, long validUntil, Effects out) {
        others.remove(from);
        if (reporters.put(from, validUntil) == null && isCollector()) {
            tell(
                    List.of(from),
                    digest(loads(from)),
                    places(new LastSent(), all(), false),
                    claimsOf(all()),
                    out);
        }
    }

    /** Sends the digests that are due. */
    void onTick(Effects out) {
        long now = time.nanoTime();
        reporters.values().removeIf(until -> until - now < 0);
        others.values().removeIf(until -> until - now < 0);
        if (!isCollector() || now - nextAt < 0) {
            return;
        }
        nextAt = now + LoadExchange.PER_INSTANCE.multipliedBy(reporters.size() + 1L).toNanos();
        boolean repeat = now - repeatedAt >= REPEAT.toNanos();
        if (repeat) {
            repeatedAt = now;
            turn = (turn + 1) % TURNS;
            forgetUnlisted();
        }
        tellCollectors(repeat, out);
        tellReporters(repeat, out);
    }

    private void forgetUnlisted() {
        toReporters.placesVersions.keySet().removeIf(id -> upstreams.get(id) == null);
        toCollectors.placesVersions.keySet().removeIf(id -> upstreams.get(id) == null);
    }

    private void tellCollectors(boolean repeat, Effects out) {
        List<UpstreamLoad> sums = sums();
        Set<String> owners = new HashSet<>(reporters.keySet());
        owners.add(membership.self().id());
        List<OrderedUpstream> places = places(toCollectors, owners, repeat);
        boolean changed = toCollectors.tell(news) || !sums.equals(toCollectors.loads);
        if (!repeat && places.isEmpty() && !changed) {
            return;
        }
        toCollectors.loads = sums;
        Set<String> receivers = new HashSet<>(collectors.firsts());
        receivers.addAll(others.keySet());
        List<InstanceClaims> told = repeat ? claimsOf(owners) : List.of();
        tell(receivers, digest(sums).setBetweenCollectors(true), places, told, out);
    }

    private void tellReporters(boolean repeat, Effects out) {
        List<UpstreamLoad> totals = loads("");
        List<OrderedUpstream> places = places(toReporters, all(), repeat);
        boolean changed = toReporters.tell(news) || !totals.equals(toReporters.loads);
        if (!repeat && places.isEmpty() && !changed) {
            return;
        }
        toReporters.loads = totals;
        List<InstanceClaims> told = repeat ? claimsOf(all()) : List.of();
        for (String r : reporters.keySet()) {
            tell(List.of(r), digest(loads(r)), places, told, out);
        }
    }

    private Set<String> all() {
        Set<String> owners = new HashSet<>();
        owners.add(membership.self().id());
        claims.heard().forEach(h -> owners.add(h.instance()));
        return owners;
    }

    /** Returns what this instance and those that report to it have sent to each upstream. */
    private List<UpstreamLoad> sums() {
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

    /** Returns what all instances but one have sent to each upstream. */
    private List<UpstreamLoad> loads(String without) {
        List<UpstreamLoad> totals = new ArrayList<>();
        for (UpstreamState u : upstreams.all()) {
            UpstreamState.PeerLoad p = u.peerLoad(without);
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

    /** Returns what engines hold that has changed since it was told, or whose turn it is. */
    private List<OrderedUpstream> places(LastSent audience, Set<String> owners, boolean repeat) {
        List<OrderedUpstream> found = new ArrayList<>();
        int index = 0;
        for (UpstreamState u : upstreams.all()) {
            boolean due = repeat && index++ % TURNS == turn;
            Option<Claim> claim = claimOn(u);
            if (claim.isEmpty() || !owners.contains(claim.get().instance())) {
                continue;
            }
            Integer told = audience.placesVersions.put(u.id(), u.placesVersion());
            if (due || told == null || told != u.placesVersion()) {
                found.add(EngineInventory.complete(u, claim.get().fencing()));
            }
        }
        return found;
    }

    /** Returns the claim on an engine of which it is known what it holds. */
    private Option<Claim> claimOn(UpstreamState u) {
        return claims.claim(u.id())
                .filter(
                        c ->
                                claims.holds(u.id())
                                        ? office.hasReport(u)
                                        : u.placesFencing() == c.fencing());
    }

    private LoadDigest.Builder digest(List<UpstreamLoad> loads) {
        return LoadDigest.newBuilder()
                .setValidMs((int) LoadExchange.lifetime(REPEAT).toMillis())
                .addAllLoads(loads)
                .setNewsRevision(news.revision())
                .setStoreAnswers(news.isAnswering())
                .setStoreReturnedMs(news.returnedMillis());
    }

    /** Sends a digest in as many parts as it takes packets. */
    private void tell(
            Collection<String> receivers,
            LoadDigest.Builder first,
            List<OrderedUpstream> places,
            List<InstanceClaims> claims,
            Effects out) {
        DigestParts parts = new DigestParts(first);
        places.forEach(p -> parts.withRoomFor(p).addPlaces(p));
        claims.forEach(c -> parts.withRoomFor(c).addClaims(c));
        List<LoadDigest> all = parts.all();
        receivers.forEach(r -> all.forEach(p -> send(r, p, out)));
    }

    private List<InstanceClaims> claimsOf(Set<String> owners) {
        List<InstanceClaims> found = new ArrayList<>();
        claims.heard().stream()
                .filter(h -> owners.contains(h.instance()))
                .forEach(h -> found.add(claimsOf(h)));
        Duration lifetime = LoadExchange.lifetime(LoadExchange.REPEAT);
        String self = membership.self().id();
        found.add(
                claimsOf(
                        new OrderClaims.PeerClaims(
                                self, claims.version(), claims.own(), lifetime)));
        return found;
    }

    private static InstanceClaims claimsOf(OrderClaims.PeerClaims of) {
        InstanceClaims.Builder b =
                InstanceClaims.newBuilder()
                        .setInstance(of.instance())
                        .setClaimsVersion(of.version())
                        .setValidMs((int) of.left().toMillis());
        of.fencingByUpstream().forEach((u, f) -> b.addOrdered(EngineInventory.claim(u, f)));
        return b.build();
    }

    private static void send(String to, LoadDigest digest, Effects out) {
        Envelope.Builder envelope = Envelope.newBuilder().setLoadDigest(digest);
        out.add(new Effect.SendPeer(to, envelope, false));
    }

    /** Takes over the digest of a collector. */
    void onDigest(String from, LoadDigest digest) {
        long now = time.nanoTime();
        long validUntil = now + Duration.ofMillis(digest.getValidMs()).toNanos();
        if (digest.getBetweenCollectors()) {
            reporters.remove(from);
            others.put(from, validUntil);
        } else {
            collectors.onDigest(from);
        }
        boolean own = !digest.getBetweenCollectors() && collectors.mine().contains(from);
        news.onDigest(digest.getNewsRevision(), digest.getStoreAnswers(), own);
        if (own && news.onReturnTold(digest.getStoreReturnedMs())) {
            upstreams.onStoreReturned();
        }
        // Loads count once: a collector has them from collectors, others from their collector.
        boolean counts = digest.getBetweenCollectors() ? isCollector() : own;
        if (counts && !digest.getFurtherPart()) {
            upstreams.onPeerLoads(from, digest.getLoadsList(), validUntil);
        }
        for (InstanceClaims c : digest.getClaimsList()) {
            if (!c.getInstance().equals(membership.self().id())) {
                Map<String, Long> fencing = EngineInventory.fencing(c.getOrderedList());
                long until = now + Duration.ofMillis(c.getValidMs()).toNanos();
                claims.onPeerClaims(c.getInstance(), c.getClaimsVersion(), fencing, until);
            }
        }
        digest.getPlacesList().forEach(this::takeOverPlaces);
    }

    private void takeOverPlaces(OrderedUpstream ordered) {
        UpstreamState u = upstreams.get(ordered.getUpstream());
        if (u != null
                && !claims.holds(u.id())
                && claims.claim(u.id()).exists(c -> c.fencing() == ordered.getFencing())) {
            EngineInventory.takeOver(u, ordered);
        }
    }
}
