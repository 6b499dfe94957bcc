package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
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
 * Agrees with the other instances on who gives orders to which upstream.
 *
 * <p>Claims are announced in the load shares and kept by their owner for as long as it lives, so
 * that the owner does not change when instances join. An upstream without a claim goes to the first
 * live instance in its rendezvous order, which announces the claim and waits before it orders, so
 * that a second claim made at the same time is seen. Of two claims the one with the higher fencing
 * number stays.
 */
final class OrderClaims {

    private static final Logger LOG = Logger.getLogger(OrderClaims.class);

    /**
     * Time after a start in which an instance finds the others and learns their claims: it greets
     * the seeds and everybody it learns of every 200 ms, and whoever sees it answers with its
     * claims.
     */
    private static final Duration SETTLE = Duration.ofMillis(1000);

    /** How long an upstream must be without a claim before one is made. */
    private static final Duration UNCLAIMED = Duration.ofMillis(150);

    /** Time from a claim to its first order: several intervals between load shares. */
    private static final Duration ANNOUNCE = Duration.ofMillis(200);

    /** Bits below the milliseconds of a fencing number, which tell instances apart. */
    private static final int INSTANCE_BITS = 12;

    private final Membership membership;
    private final ForwardSettings settings;
    private final TimeSource time;
    private final long startedAt;
    private final Map<String, Long> heardUntil = new HashMap<>();
    private final Map<String, Own> own = new HashMap<>();
    private final Map<String, Claim> others = new HashMap<>();
    private final Map<String, Long> highestFencing = new HashMap<>();
    private final Map<String, Long> unclaimedSince = new HashMap<>();
    private final Map<String, Long> notBefore = new HashMap<>();

    private record Own(long fencing, long ordersFrom) {}

    OrderClaims(Membership membership, ForwardSettings settings, TimeSource time) {
        this.membership = membership;
        this.settings = settings;
        this.time = time;
        this.startedAt = time.nanoTime();
    }

    /**
     * Takes over the claims of another instance; they replace its earlier ones.
     *
     * @param validUntil monotonic time until which they count whatever the membership says: after a
     *     partition the probes of an instance take longer to recover than its messages
     */
    void onPeerClaims(String peer, Map<String, Long> fencingByUpstream, long validUntil) {
        others.values().removeIf(c -> c.instance().equals(peer));
        heardUntil.put(peer, validUntil);
        fencingByUpstream.forEach(
                (upstream, fencing) -> {
                    highestFencing.merge(upstream, fencing, Math::max);
                    Claim known = others.get(upstream);
                    if (known == null || known.fencing() < fencing) {
                        others.put(upstream, new Claim(peer, fencing));
                    }
                    Own mine = own.get(upstream);
                    if (mine != null && mine.fencing() < fencing) {
                        drop(upstream, "higher-claim-of-" + peer);
                    }
                });
    }

    /**
     * Claims what nobody else claims.
     *
     * @param upstreams identifiers of the engines that are listed
     * @return whether the own claims have changed
     */
    boolean onTick(Set<String> upstreams) {
        Set<String> live = new HashSet<>();
        membership.live().forEach(i -> live.add(i.id()));
        long now = time.nanoTime();
        heardUntil.values().removeIf(until -> until - now < 0);
        others.values()
                .removeIf(
                        c -> !live.contains(c.instance()) && !heardUntil.containsKey(c.instance()));
        boolean changed = own.keySet().retainAll(upstreams);
        others.keySet().retainAll(upstreams);
        unclaimedSince.keySet().retainAll(upstreams);
        highestFencing.keySet().retainAll(upstreams);
        if (now - startedAt < SETTLE.toNanos() || membership.leaving()) {
            return changed;
        }
        for (String u : upstreams) {
            if (own.containsKey(u) || others.containsKey(u)) {
                unclaimedSince.remove(u);
            } else {
                unclaimedSince.putIfAbsent(u, now);
                changed |= tryClaim(u, now);
            }
        }
        return changed;
    }

    private boolean tryClaim(String upstream, long now) {
        if (now - unclaimedSince.get(upstream) < UNCLAIMED.toNanos()
                || now - notBefore.getOrDefault(upstream, now) < 0) {
            return false;
        }
        List<InstanceRef> ranked =
                RendezvousHash.rank(upstream, membership.live(), InstanceRef::id);
        if (ranked.isEmpty() || !ranked.get(0).id().equals(settings.instance())) {
            return false;
        }
        long fencing = nextFencing(upstream);
        highestFencing.put(upstream, fencing);
        own.put(upstream, new Own(fencing, now + ANNOUNCE.toNanos()));
        unclaimedSince.remove(upstream);
        LOG.infof(
                "event=claim upstream=%s fencing=%d live-instances=%d",
                upstream, fencing, ranked.size());
        return true;
    }

    private long nextFencing(String upstream) {
        long mark = settings.instance().hashCode() & ((1 << INSTANCE_BITS) - 1);
        long byClock = (time.millis() << INSTANCE_BITS) | mark;
        long step = 1L << INSTANCE_BITS;
        long above = highestFencing.getOrDefault(upstream, 0L) + step;
        return Math.max(byClock, (above & -step) | mark);
    }

    /** Returns the fencing number for an order that is given now; empty if none may be given. */
    Option<Long> fencing(String upstream) {
        Own mine = own.get(upstream);
        return mine == null || time.nanoTime() - mine.ordersFrom() < 0
                ? Option.none()
                : Option.of(mine.fencing());
    }

    /** Gives up a claim because the upstream has seen a higher fencing number. */
    void onFenced(String upstream) {
        notBefore.put(upstream, time.nanoTime() + settings.claimTime().toNanos());
        drop(upstream, "fenced-by-upstream");
    }

    /** Gives up all claims, after a pause or before a stop. */
    void dropAll(String reason) {
        long resume = time.nanoTime() + settings.claimTime().toNanos();
        for (String u : new ArrayList<>(own.keySet())) {
            notBefore.put(u, resume);
            drop(u, reason);
        }
    }

    private void drop(String upstream, String reason) {
        if (own.remove(upstream) != null) {
            LOG.infof("event=claim-ended upstream=%s reason=%s", upstream, reason);
        }
    }

    /** Returns the own claims: fencing numbers by upstream. */
    Map<String, Long> own() {
        Map<String, Long> claims = new HashMap<>();
        own.forEach((u, o) -> claims.put(u, o.fencing()));
        return claims;
    }

    /** Returns whether this instance claims the upstream. */
    boolean holds(String upstream) {
        return own.containsKey(upstream);
    }

    /** Returns the instance that gives orders to the upstream. */
    Option<String> holder(String upstream) {
        return own.containsKey(upstream)
                ? Option.of(settings.instance())
                : Option.of(others.get(upstream)).map(Claim::instance);
    }
}
