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

    /** Lifetime of a digest in repetitions: two of them may be lost. */
    private static final double LIFETIME = 2.5;

    /** Repetitions in which what every engine holds is told again. */
    private static final int TURNS = 8;

    /** Content of one packet of 1,500 bytes, with room for names and headers. */
    private static final int MAX_PART_BYTES = 1200;

    /** Time for which the collector's own claims count; as for those in shares. */
    private static final Duration OWN_CLAIMS = Duration.ofMillis(2500);

    private final Membership membership;
    private final UpstreamTable upstreams;
    private final OrderClaims claims;
    private final Collectors collectors;
    private final StoreNews news;
    private final TimeSource time;
    private final Map<String, Long> reporters = new HashMap<>();
    private final Map<String, Long> others = new HashMap<>();
    private final Map<String, Long> placesOf = new HashMap<>();
    private final Audience toReporters = new Audience();
    private final Audience toCollectors = new Audience();
    private long nextAt;
    private long repeatedAt;
    private int turn;

    /** What was told last to the receivers of one kind of digest. */
    private static final class Audience {
        private final Map<String, Integer> placesVersions = new HashMap<>();
        private List<UpstreamLoad> loads = List.of();
        private long storeRevision;
        private boolean storeAnswers;

        /** Notes what is told of the store; returns whether it has changed. */
        private boolean tell(StoreNews news) {
            boolean changed =
                    storeRevision != news.revision() || storeAnswers != news.isAnswering();
            storeRevision = news.revision();
            storeAnswers = news.isAnswering();
            return changed;
        }
    }

    LoadDigests(
            Membership membership,
            UpstreamTable upstreams,
            OrderClaims claims,
            Collectors collectors,
            StoreNews news,
            TimeSource time) {
        this.membership = membership;
        this.upstreams = upstreams;
        this.claims = claims;
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
                    places(new Audience(), all(), false),
                    claimsOf(all()),
                    out);
        }
    }

    /** Notes what an engine holds under the present claim on it. */
    void onPlaces(String upstream, long fencing) {
        placesOf.put(upstream, fencing);
    }

    /** Sends the digests that are due. */
    void onTick(Effects out) {
        long now = time.nanoTime();
        reporters.values().removeIf(until -> until - now < 0);
        others.values().removeIf(until -> until - now < 0);
        if (!isCollector() || now - nextAt < 0) {
            return;
        }
        nextAt = now + LoadShares.PER_INSTANCE.multipliedBy(reporters.size() + 1L).toNanos();
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
        placesOf.keySet().removeIf(id -> upstreams.get(id) == null);
        toReporters.placesVersions.keySet().retainAll(placesOf.keySet());
        toCollectors.placesVersions.keySet().retainAll(placesOf.keySet());
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
            into.add(
                    UpstreamLoad.newBuilder()
                            .setUpstreamHash(u.shortHash())
                            .setRequests(requests)
                            .setTokens(tokens)
                            .setUnreadTokens(unread)
                            .build());
        }
    }

    /** Returns what engines hold that has changed since it was told, or whose turn it is. */
    private List<OrderedUpstream> places(Audience audience, Set<String> owners, boolean repeat) {
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
                found.add(EnginePlaces.complete(u, claim.get().fencing()));
            }
        }
        return found;
    }

    /** Returns the claim on an engine of which it is known what it holds. */
    private Option<Claim> claimOn(UpstreamState u) {
        Long fencing = placesOf.get(u.id());
        Option<Claim> claim =
                claims.holds(u.id())
                        ? Option.of(new Claim(membership.self().id(), claims.own().get(u.id())))
                        : claims.claimOfOther(u.id());
        return claim.filter(c -> fencing != null && c.fencing() == fencing);
    }

    private LoadDigest.Builder digest(List<UpstreamLoad> loads) {
        return LoadDigest.newBuilder()
                .setValidMs((int) (REPEAT.toMillis() * LIFETIME))
                .addAllLoads(loads)
                .setStoreRevision(news.revision())
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
        List<LoadDigest> parts = new ArrayList<>();
        LoadDigest.Builder part = first;
        int bytes = first.build().getSerializedSize();
        LoadDigest.Builder further = first.clone().clearLoads().setFurtherPart(true);
        for (OrderedUpstream o : places) {
            if (bytes + o.getSerializedSize() > MAX_PART_BYTES) {
                parts.add(part.build());
                part = further.clone();
                bytes = 0;
            }
            part.addPlaces(o);
            bytes += o.getSerializedSize();
        }
        for (InstanceClaims c : claims) {
            if (bytes + c.getSerializedSize() > MAX_PART_BYTES) {
                parts.add(part.build());
                part = further.clone();
                bytes = 0;
            }
            part.addClaims(c);
            bytes += c.getSerializedSize();
        }
        parts.add(part.build());
        receivers.forEach(r -> parts.forEach(p -> send(r, p, out)));
    }

    private List<InstanceClaims> claimsOf(Set<String> owners) {
        List<InstanceClaims> found = new ArrayList<>();
        claims.heard().stream()
                .filter(h -> owners.contains(h.instance()))
                .forEach(h -> found.add(claimsOf(h)));
        found.add(ownClaims());
        return found;
    }

    private InstanceClaims ownClaims() {
        InstanceClaims.Builder b =
                InstanceClaims.newBuilder()
                        .setInstance(membership.self().id())
                        .setClaimsVersion(claims.version())
                        .setValidMs((int) OWN_CLAIMS.toMillis());
        claims.own().forEach((u, f) -> b.addOrdered(EnginePlaces.claim(u, f)));
        return b.build();
    }

    private static InstanceClaims claimsOf(OrderClaims.Heard heard) {
        InstanceClaims.Builder b =
                InstanceClaims.newBuilder()
                        .setInstance(heard.instance())
                        .setClaimsVersion(heard.version())
                        .setValidMs((int) heard.left().toMillis());
        heard.fencingByUpstream().forEach((u, f) -> b.addOrdered(EnginePlaces.claim(u, f)));
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
        news.onDigest(digest.getStoreRevision(), digest.getStoreAnswers(), own);
        if (own && news.onReturnTold(digest.getStoreReturnedMs())) {
            upstreams.onStoreReturned();
        }
        // Loads count once: a collector has them from collectors, others from their collector.
        boolean counts = digest.getBetweenCollectors() ? isCollector() : own;
        if (counts && !digest.getFurtherPart()) {
            takeOverLoads(from, digest.getLoadsList(), validUntil);
        }
        for (InstanceClaims c : digest.getClaimsList()) {
            if (!c.getInstance().equals(membership.self().id())) {
                Map<String, Long> fencing = new HashMap<>();
                c.getOrderedList().forEach(o -> fencing.put(o.getUpstream(), o.getFencing()));
                long until = now + Duration.ofMillis(c.getValidMs()).toNanos();
                claims.onPeerClaims(c.getInstance(), c.getClaimsVersion(), fencing, until);
            }
        }
        digest.getPlacesList().forEach(this::takeOverPlaces);
    }

    private void takeOverLoads(String from, Collection<UpstreamLoad> loads, long validUntil) {
        Set<UpstreamState> named = new HashSet<>();
        for (UpstreamLoad load : loads) {
            UpstreamState u = upstreams.get(load.getUpstreamHash());
            if (u != null) {
                named.add(u);
                u.onPeerLoad(from, UpstreamState.PeerLoad.of(load, validUntil));
            }
        }
        upstreams.all().stream().filter(u -> !named.contains(u)).forEach(u -> u.dropPeer(from));
    }

    private void takeOverPlaces(OrderedUpstream ordered) {
        UpstreamState u = upstreams.get(ordered.getUpstream());
        boolean claimed =
                claims.claimOfOther(ordered.getUpstream())
                        .exists(c -> c.fencing() == ordered.getFencing());
        if (u != null && claimed && !claims.holds(u.id()) && EnginePlaces.takeOver(u, ordered)) {
            onPlaces(u.id(), ordered.getFencing());
        }
    }
}
