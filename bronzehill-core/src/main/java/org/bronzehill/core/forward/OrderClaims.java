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
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * Determines, in agreement with the other instances, which instance may send orders to which
 * upstream.
 *
 * <p>Claims are announced in the messages of {@link LoadExchange}. A claim does not end when
 * instances join; its holder releases it when it stops or was paused, when the upstream has seen a
 * higher fencing number, or when another instance announces a claim with a higher one. An upstream
 * without a claim is claimed by the first live instance in its rendezvous order. This instance
 * announces the claim and waits before it sends orders, so that a concurrent second claim is
 * detected. Of two claims, the one with the higher fencing number wins.
 *
 * <p>Instances that do not know each other cannot agree. {@link ClaimConflicts} decides which of
 * them stays away from an upstream.
 */
final class OrderClaims {

    private static final Logger LOG = Logger.getLogger(OrderClaims.class);

    /**
     * Time after a start before claims are made, in which the instance receives the claims of the
     * others. It announces itself to the seeds every 200 ms and once to each instance that it
     * discovers. Instances send their claims to an instance that has become live.
     */
    private static final Duration DISCOVERY_TIME = Duration.ofMillis(1000);

    /**
     * Time after a start before claims are made once every known instance has sent its claims: two
     * announcements to the seeds, so that all live instances are known.
     */
    private static final Duration MIN_DISCOVERY_TIME = Duration.ofMillis(400);

    /**
     * Time after a start before claims are made while no other instance is known. When all
     * instances start together on small machines, the seeds answer after one or two seconds.
     */
    private static final Duration DISCOVERY_TIME_ALONE = Duration.ofMillis(2500);

    /**
     * Time after a start from which an instance that knows no other one observes whether upstreams
     * accept orders. The seeds of a fleet that starts together mostly answer earlier.
     */
    private static final Duration OBSERVATION_TIME_ALONE = Duration.ofMillis(1000);

    /** Time for which an upstream must be without a claim before a claim is made. */
    private static final Duration MIN_UNCLAIMED_TIME = Duration.ofMillis(150);

    /**
     * Time from a claim to its first order. A new claim is sent to all instances in the same tick,
     * so that a concurrent claim of another instance is known before the first order.
     */
    private static final Duration ANNOUNCE_TIME = Duration.ofMillis(200);

    /**
     * Step, in time, from a fencing number that an upstream refused as too low to the next one. The
     * number that the upstream has seen may be unknown here, because its holder crashed before it
     * announced the claim. Fencing numbers contain the time, so the step must exceed the clock
     * differences between instances. It doubles with each further refusal, because the clock of a
     * previous holder may have been far ahead.
     */
    private static final Duration FENCED_STEP = Duration.ofSeconds(10);

    /** Bound on doubling this step: three hours. */
    private static final int MAX_STEP_DOUBLINGS = 10;

    /** Number of bits below the milliseconds of a fencing number that distinguish instances. */
    private static final int INSTANCE_BITS = 12;

    private final Membership membership;
    private final ForwardSettings settings;
    private final TimeSource time;
    private long startedAt;
    private boolean started;
    private final Map<String, Long> peerClaimsValidUntil = new HashMap<>();
    private final Map<String, OwnClaim> ownClaims = new HashMap<>();
    private final Map<String, Claim> peerClaims = new HashMap<>();
    private final Map<String, Long> peerClaimsVersions = new HashMap<>();
    private final Set<String> heardSinceStart = new HashSet<>();
    private final Map<String, Long> highestFencing = new HashMap<>();
    private final Map<String, Long> unclaimedSince = new HashMap<>();
    private final Map<String, Long> noClaimBefore = new HashMap<>();
    private final ClaimConflicts conflicts;
    private long ownClaimsVersion;

    private record OwnClaim(long fencing, long ordersFrom) {}

    OrderClaims(Membership membership, ForwardSettings settings, TimeSource time) {
        this.membership = membership;
        this.settings = settings;
        this.time = time;
        this.conflicts = new ClaimConflicts(settings.instance(), settings.orderLease(), time);
        this.ownClaimsVersion = membership.self().incarnation();
    }

    /**
     * Applies the claims of another instance. They replace its earlier claims, unless they are
     * older than those.
     *
     * @param claimsVersion increases with each change of the instance's claims
     * @param validUntil monotonic time until which the claims are valid even if the membership
     *     considers the instance dead: after a partition, its messages arrive before the probes
     *     have shown that it is live
     */
    void onPeerClaims(
            String peer, long claimsVersion, Map<String, Long> fencingByUpstream, long validUntil) {
        long known = peerClaimsVersions.getOrDefault(peer, 0L);
        if (claimsVersion < known) {
            return;
        }
        peerClaimsVersions.put(peer, claimsVersion);
        heardSinceStart.add(peer);
        if (claimsVersion > known) {
            // The same version may be relayed by an instance that does not know all upstreams yet
            // and omits the claims on the others. Claims that it omits are therefore kept.
            peerClaims.values().removeIf(c -> c.instance().equals(peer));
        }
        peerClaimsValidUntil.merge(peer, validUntil, (a, b) -> a - b > 0 ? a : b);
        fencingByUpstream.forEach(
                (upstream, fencing) -> {
                    highestFencing.merge(upstream, fencing, Math::max);
                    Claim claimed = peerClaims.get(upstream);
                    if (claimed == null || claimed.fencing() < fencing) {
                        peerClaims.put(upstream, new Claim(peer, fencing));
                    }
                    OwnClaim ownClaim = ownClaims.get(upstream);
                    if (ownClaim != null && ownClaim.fencing() < fencing) {
                        release(upstream, "higher-claim-of-" + peer);
                    }
                });
    }

    /**
     * Removes expired claims, and claims the upstreams without a claim.
     *
     * @param upstreams identifiers of the listed engines
     */
    void onTick(Set<String> upstreams) {
        Set<String> live = new HashSet<>();
        membership.live().forEach(i -> live.add(i.id()));
        long now = time.nanoTime();
        peerClaimsValidUntil.values().removeIf(until -> until - now < 0);
        peerClaims
                .values()
                .removeIf(
                        c ->
                                !live.contains(c.instance())
                                        && !peerClaimsValidUntil.containsKey(c.instance()));
        peerClaimsVersions
                .keySet()
                .removeIf(i -> !live.contains(i) && !peerClaimsValidUntil.containsKey(i));
        if (ownClaims.keySet().retainAll(upstreams)) {
            ownClaimsVersion++;
        }
        peerClaims.keySet().retainAll(upstreams);
        unclaimedSince.keySet().retainAll(upstreams);
        highestFencing.keySet().retainAll(upstreams);
        if (!started) {
            started = true;
            startedAt = now;
        }
        conflicts.onTick(upstreams);
        peerClaims.keySet().forEach(conflicts::onHolderKnown);
        boolean discovering = now - startedAt < discoveryTime(live).toNanos();
        boolean observing =
                discovering
                        && live.size() <= 1
                        && now - startedAt >= OBSERVATION_TIME_ALONE.toNanos();
        for (String u : upstreams) {
            if (ownClaims.containsKey(u) || peerClaims.containsKey(u)) {
                unclaimedSince.remove(u);
            } else {
                if (observing) {
                    conflicts.observe(u);
                }
                unclaimedSince.putIfAbsent(u, now);
                if (!discovering && !membership.leaving()) {
                    tryClaim(u, now);
                }
            }
        }
    }

    private Duration discoveryTime(Set<String> live) {
        if (live.size() <= 1) {
            return DISCOVERY_TIME_ALONE;
        }
        boolean allHeard =
                live.stream()
                        .allMatch(
                                id ->
                                        id.equals(settings.instance())
                                                || heardSinceStart.contains(id));
        return allHeard ? MIN_DISCOVERY_TIME : DISCOVERY_TIME;
    }

    private void tryClaim(String upstream, long now) {
        if (now - unclaimedSince.get(upstream) < MIN_UNCLAIMED_TIME.toNanos()
                || now - noClaimBefore.getOrDefault(upstream, now) < 0
                || !conflicts.mayClaim(upstream)) {
            return;
        }
        List<InstanceRef> ranked =
                RendezvousHash.rank(upstream, membership.live(), InstanceRef::id);
        if (ranked.isEmpty() || !ranked.get(0).id().equals(settings.instance())) {
            return;
        }
        long fencing = nextFencing(upstream);
        highestFencing.put(upstream, fencing);
        ownClaims.put(upstream, new OwnClaim(fencing, now + ANNOUNCE_TIME.toNanos()));
        unclaimedSince.remove(upstream);
        ownClaimsVersion++;
        conflicts.onClaimed(upstream);
        LOG.infof(
                "event=claim upstream=%s fencing=%d live-instances=%d",
                upstream, fencing, ranked.size());
    }

    private long nextFencing(String upstream) {
        long instanceBits = settings.instance().hashCode() & ((1 << INSTANCE_BITS) - 1);
        long clockBased = (time.millis() << INSTANCE_BITS) | instanceBits;
        long increment = 1L << INSTANCE_BITS;
        long aboveHighest = highestFencing.getOrDefault(upstream, 0L) + increment;
        return Math.max(clockBased, (aboveHighest & -increment) | instanceBits);
    }

    /** Returns the fencing number for an order that is sent now; empty if none may be sent. */
    Option<Long> fencing(String upstream) {
        OwnClaim ownClaim = ownClaims.get(upstream);
        return ownClaim == null || time.nanoTime() - ownClaim.ordersFrom() < 0
                ? Option.none()
                : Option.of(ownClaim.fencing());
    }

    /**
     * Releases a claim because the upstream has seen a higher fencing number, and observes whether
     * another instance gives orders to the upstream.
     */
    void onFenced(String upstream) {
        noClaimBefore.put(upstream, time.nanoTime() + settings.orderLease().toNanos());
        OwnClaim refused = ownClaims.get(upstream);
        conflicts.onRefused(upstream);
        if (refused != null) {
            int doublings = Math.min(MAX_STEP_DOUBLINGS, conflicts.refusals(upstream) - 1);
            long step = (FENCED_STEP.toMillis() << doublings) << INSTANCE_BITS;
            highestFencing.merge(upstream, refused.fencing() + step, Math::max);
        }
        release(upstream, "fenced-by-upstream");
    }

    /**
     * Handles orders that the upstream has accepted and that this instance has not sent although it
     * holds the claim. Releases the claim if another instance goes on giving orders.
     */
    void onForeignOrders(String upstream) {
        if (ownClaims.containsKey(upstream) && conflicts.onForeignOrders(upstream)) {
            release(upstream, "orders-of-another-instance");
        }
    }

    /** Records that the upstream has accepted an order of this instance. */
    void onAccepted(String upstream) {
        conflicts.onAccepted(upstream);
    }

    /**
     * Returns whether reports of the upstream must be read, because an instance that is not known
     * here may be giving orders to it.
     */
    boolean isObserved(String upstream) {
        return conflicts.isObserved(upstream);
    }

    /** Applies the report of an upstream whose claim holder is not known. */
    void onUnclaimedReport(String upstream, InventoryReport report) {
        conflicts.onReport(upstream, report);
    }

    /**
     * Returns, once for each claim, the number of orders that the upstream had accepted when this
     * instance claimed it, if another instance may have given them.
     */
    Option<Long> takeAcceptedAtClaim(String upstream) {
        return conflicts.takeAcceptedAtClaim(upstream);
    }

    /**
     * Releases all claims because the process did not run for some time. What this instance knows
     * of the others is as old as the pause, so they are discovered again before the next claim.
     */
    void onProcessPause() {
        releaseAll("process-pause");
        started = false;
        heardSinceStart.clear();
    }

    /** Releases all claims before a stop. */
    void releaseAll(String reason) {
        long resume = time.nanoTime() + settings.orderLease().toNanos();
        for (String u : new ArrayList<>(ownClaims.keySet())) {
            noClaimBefore.put(u, resume);
            release(u, reason);
        }
    }

    private void release(String upstream, String reason) {
        if (ownClaims.remove(upstream) != null) {
            ownClaimsVersion++;
            LOG.infof("event=claim-ended upstream=%s reason=%s", upstream, reason);
        }
    }

    /** Returns the claims of this instance: fencing numbers by upstream. */
    Map<String, Long> ownClaims() {
        Map<String, Long> claims = new HashMap<>();
        ownClaims.forEach((u, o) -> claims.put(u, o.fencing()));
        return claims;
    }

    /**
     * Returns a number that increases with each change of this instance's claims, also across
     * restarts.
     */
    long version() {
        return ownClaimsVersion;
    }

    /**
     * Valid claims of one instance, which may be this one.
     *
     * @param validFor time for which they remain valid
     */
    record ClaimsOfInstance(
            String instance,
            long version,
            Map<String, Long> fencingByUpstream,
            Duration validFor) {}

    /** Returns the valid claims of the other instances. */
    Collection<ClaimsOfInstance> currentPeerClaims() {
        long now = time.nanoTime();
        Map<String, ClaimsOfInstance> found = new HashMap<>();
        peerClaimsValidUntil.forEach(
                (i, until) -> {
                    if (until - now > 0) {
                        found.put(
                                i,
                                new ClaimsOfInstance(
                                        i,
                                        peerClaimsVersions.getOrDefault(i, 0L),
                                        new HashMap<>(),
                                        Duration.ofNanos(until - now)));
                    }
                });
        peerClaims.forEach(
                (u, c) -> {
                    ClaimsOfInstance claims = found.get(c.instance());
                    if (claims != null) {
                        claims.fencingByUpstream().put(u, c.fencing());
                    }
                });
        return found.values();
    }

    /** Returns the claim of another instance on the upstream. */
    Option<Claim> peerClaim(String upstream) {
        return Option.of(peerClaims.get(upstream));
    }

    /** Returns whether this instance holds the claim on the upstream. */
    boolean holds(String upstream) {
        return ownClaims.containsKey(upstream);
    }

    /** Returns the claim on the upstream, whether of this instance or another one. */
    Option<Claim> claim(String upstream) {
        return Option.of(ownClaims.get(upstream))
                .map(o -> new Claim(settings.instance(), o.fencing()))
                .orElse(peerClaim(upstream));
    }

    /** Returns the instance that holds the claim on the upstream. */
    Option<String> holder(String upstream) {
        return claim(upstream).map(Claim::instance);
    }
}
