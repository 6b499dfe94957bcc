package org.bronzehill.core.lease;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.HolderHandover;
import org.bronzehill.protocol.generated.IntentReply;
import org.bronzehill.protocol.generated.IntentRequest;
import org.bronzehill.protocol.generated.LeaseAnswer;
import org.bronzehill.protocol.generated.LeaseClaim;

/** The candidate's and holder's side of the leases: claims, renewals, intents and handover. */
final class LeaseSeeker {

    private static final long RENEW_NANOS = 600_000_000L;
    private static final long RETRY_NANOS = 300_000_000L;
    private static final long HANDOVER_RETRY_NANOS = 100_000_000L;

    /** A later candidate waits so that the earlier ones need not compete with it. */
    private static final long RANK_NANOS = 700_000_000L;

    /**
     * An attempt that stays without a majority blocks the grantors it has. It is given up after
     * this many rounds (2.4 s), so that a candidate with better links can succeed.
     */
    private static final int MAX_ROUNDS = 8;

    private static final long GIVE_UP_NANOS = 1_000_000_000L;
    private static final long LOST_RACE_NANOS = 100_000_000L;

    /** Leaves the own grant free for longer than a period of renewals of the other holder. */
    private static final long BEATEN_NANOS = RENEW_NANOS + 100_000_000L;

    private static final long JITTER_MS = 400;
    private static final long HANDOVER_NANOS = 5_000_000_000L;

    /**
     * After a loss of all memory of earlier intents, a holder's own list counts as complete after
     * this time. An eviction order delayed for longer than that is not covered.
     */
    private static final long HISTORY_NANOS = 60_000_000_000L;

    private final Membership membership;
    private final String self;
    private final TimeSource time;
    private final GrantTable grants;
    private final GrantorLinks links;
    private final LeaseListener listener;
    private final Map<String, Tenure> tenures = new TreeMap<>();
    private final Map<String, Handover> handovers = new HashMap<>();
    private long suspendedAt;
    private boolean suspended;
    private long renewal;
    private long attempts;

    private record Handover(HolderHandover state, long at) {}

    LeaseSeeker(
            Membership membership,
            TimeSource time,
            GrantTable grants,
            GrantorLinks links,
            LeaseListener listener) {
        this.membership = membership;
        this.self = membership.self().id();
        this.time = time;
        this.grants = grants;
        this.links = links;
        this.listener = listener;
        this.renewal = time.nanoTime();
    }

    Set<String> resources() {
        return tenures.keySet();
    }

    boolean holds(String resource) {
        Tenure t = tenures.get(resource);
        return t != null && t.valid(time.nanoTime());
    }

    Lease lease(String resource) {
        return tenures.get(resource).lease();
    }

    boolean isLive(String id) {
        return id.equals(self)
                ? !membership.leaving()
                : membership.peer(id).exists(p -> p.status().isLive());
    }

    void regroup(Map<String, GrantorSet> sets, Set<String> mine, Effects out) {
        long now = time.nanoTime();
        for (String resource : List.copyOf(tenures.keySet())) {
            Tenure t = tenures.get(resource);
            GrantorSet set = sets.get(resource);
            if (set != null && set.inScope() && (mine.contains(resource) || t.lease() != null)) {
                t.regroup(set, now);
            } else {
                boolean held = t.lease() != null;
                tenures.remove(resource);
                if (held) {
                    lost(resource, out);
                }
            }
        }
        for (String resource : mine) {
            tenures.computeIfAbsent(resource, r -> new Tenure(sets.get(r), now));
        }
        handovers.keySet().retainAll(sets.keySet());
        // Grantors that read the list earlier have refused the renewals made under the old version.
        renewal = now;
    }

    void onTick(Effects out) {
        long now = time.nanoTime();
        handovers.values().removeIf(h -> now - h.at() > HANDOVER_NANOS);
        boolean renew = now - renewal >= 0;
        if (renew) {
            renewal = now + RENEW_NANOS;
        }
        boolean idle = membership.leaving() || membership.superseded() || suspended(now);
        for (Map.Entry<String, Tenure> e : tenures.entrySet()) {
            Tenure t = e.getValue();
            if (t.lease() != null && !t.valid(now)) {
                t.end(now);
                lost(e.getKey(), out);
            }
            if (t.lease() != null) {
                if (renew && !membership.superseded()) {
                    claim(t, now);
                    resendIntents(t, out);
                }
            } else if (!idle) {
                seek(e.getKey(), t, now);
            }
        }
        flush(out);
        settle(out);
    }

    private boolean suspended(long now) {
        if (suspended && membership.listConfirmedSince(suspendedAt)) {
            suspended = false;
        }
        return suspended;
    }

    private void seek(String resource, Tenure t, long now) {
        String holder = t.set().contains(self) ? grants.holder(resource) : null;
        boolean handover = handovers.containsKey(resource);
        if (holder != null && !holder.equals(self) && !handover) {
            giveUp(t, now);
            return;
        }
        if (t.quiet(now) || !t.claimDue(now) || !t.set().contains(self)) {
            return;
        }
        long free = now - grants.freeSince(resource);
        if (!t.seeking() && !handover && free < rank(t.set()) * RANK_NANOS) {
            return;
        }
        if (!handover && (t.hopeless() || t.countRound() > MAX_ROUNDS)) {
            giveUp(t, now + quietTime(t) + jitter(resource));
            return;
        }
        if (handover) {
            t.countRound();
            t.see(handovers.get(resource).state().getFencing());
        }
        t.prepare(time.instant().toEpochMilli() << 8);
        claim(t, now);
        t.nextClaim(now + (handover ? HANDOVER_RETRY_NANOS : RETRY_NANOS));
    }

    private static long quietTime(Tenure t) {
        if (t.beaten()) {
            return BEATEN_NANOS;
        }
        return t.hopeless() ? LOST_RACE_NANOS : GIVE_UP_NANOS;
    }

    /** Two candidates that lost against each other must not meet again. */
    private long jitter(String resource) {
        long h = RendezvousHash.weight(resource + attempts++, self);
        return Math.floorMod(h, JITTER_MS) * 1_000_000;
    }

    private int rank(GrantorSet set) {
        int rank = 0;
        for (String id : set.grantors()) {
            if (id.equals(self)) {
                break;
            }
            rank += isLive(id) ? 1 : 0;
        }
        return rank;
    }

    private void claim(Tenure t, long now) {
        LeaseClaim c = t.claim(now, HISTORY_NANOS);
        t.set().grantors().forEach(g -> links.claim(g, c));
    }

    private void giveUp(Tenure t, long quietUntil) {
        if (t.seeking()) {
            releaseGrants(t);
            t.end(quietUntil);
        }
    }

    private void releaseGrants(Tenure t) {
        LeaseClaim c =
                LeaseClaim.newBuilder()
                        .setResource(t.set().resource())
                        .setFencing(t.fencing())
                        .build();
        t.set().grantors().forEach(g -> links.release(g, c));
    }

    private void flush(Effects out) {
        links.flush(this::answered, out);
    }

    void answered(String grantor, LeaseAnswer answer, long sentAt) {
        Tenure t = tenures.get(answer.getResource());
        if (t == null) {
            return;
        }
        long now = time.nanoTime();
        if (answer.getGranted()) {
            t.granted(grantor, answer, sentAt + GrantTable.LEASE_NANOS, now);
        } else if (answer.getFencing() == t.fencing()) {
            t.refused(grantor, answer);
        }
    }

    /** Reports the leases and intents that have reached a majority. */
    void settle(Effects out) {
        long now = time.nanoTime();
        boolean idle = membership.leaving() || membership.superseded() || suspended(now);
        for (Map.Entry<String, Tenure> e : List.copyOf(tenures.entrySet())) {
            Tenure t = e.getValue();
            if (t.lease() == null && t.seeking() && !idle && t.hasMajority(now)) {
                acquired(e.getKey(), t, out);
            }
            if (t.lease() != null) {
                for (String handle : t.newlyAcknowledged()) {
                    listener.onIntentAcknowledged(e.getKey(), handle, out);
                }
            }
        }
    }

    private void acquired(String resource, Tenure t, Effects out) {
        Handover h = handovers.remove(resource);
        // A holder in between may have changed what the handover describes.
        boolean current = h != null && h.state().getFencing() >= t.previousFencing();
        Option<HolderHandover> state = current ? Option.some(h.state()) : Option.none();
        Lease lease =
                t.acquire(
                        state.map(s -> (List<String>) s.getOpenIntentsList()).getOrNull(),
                        time.nanoTime());
        out.add(new Effect.RecordMetric(CoreMetric.LEASE_TAKEOVERS, resource, 1));
        listener.onAcquired(lease, state, out);
    }

    private void lost(String resource, Effects out) {
        out.add(new Effect.RecordMetric(CoreMetric.LEASE_LOSSES, resource, 1));
        listener.onLost(resource, out);
    }

    void handedOver(HolderHandover state, int limit) {
        Tenure t = tenures.get(state.getResource());
        if (t != null && t.lease() == null && handovers.size() < limit) {
            handovers.put(state.getResource(), new Handover(state, time.nanoTime()));
            t.nextClaim(time.nanoTime());
        }
    }

    void announce(String resource, String handle, Effects out) {
        Tenure t = tenures.get(resource);
        if (t.addIntent(handle)) {
            for (String grantor : t.set().grantors()) {
                sendIntent(t, grantor, handle, false, out);
            }
        }
    }

    private void sendIntent(Tenure t, String grantor, String handle, boolean end, Effects out) {
        IntentRequest.Builder r =
                IntentRequest.newBuilder()
                        .setResource(t.set().resource())
                        .setFencing(t.fencing())
                        .setHandle(handle)
                        .setFinished(end);
        IntentReply reply = links.intent(grantor, r, out);
        if (reply != null && !end && reply.getAccepted()) {
            t.recorded(handle, grantor);
        }
    }

    private void resendIntents(Tenure t, Effects out) {
        for (String grantor : t.set().grantors()) {
            for (String handle : t.unrecorded(grantor)) {
                sendIntent(t, grantor, handle, false, out);
            }
        }
    }

    void intentReply(String from, IntentReply reply, Effects out) {
        GrantorLinks.Sent sent = links.answered(from, reply.getSequence());
        Tenure t = tenures.get(reply.getResource());
        if (sent != null && t != null && reply.getAccepted() && sent.fencing() == t.fencing()) {
            t.recorded(reply.getHandle(), from);
            settle(out);
        }
    }

    void finish(String resource, String handle, Effects out) {
        Tenure t = tenures.get(resource);
        if (t != null && t.lease() != null && t.removeIntent(handle)) {
            for (String grantor : t.set().grantors()) {
                sendIntent(t, grantor, handle, true, out);
            }
        }
    }

    void see(String resource, long fencing) {
        Tenure t = tenures.get(resource);
        if (t != null) {
            t.see(fencing);
        }
    }

    void dropAll(Effects out) {
        suspended = true;
        suspendedAt = time.nanoTime();
        links.forget();
        handovers.clear();
        List<String> dropped = new ArrayList<>();
        tenures.forEach(
                (resource, t) -> {
                    if (t.lease() != null) {
                        dropped.add(resource);
                    }
                    t.end(suspendedAt);
                });
        dropped.forEach(r -> lost(r, out));
    }

    void release(String resource, HolderHandover handover, Effects out) {
        Tenure t = tenures.get(resource);
        if (t == null || t.lease() == null) {
            return;
        }
        long now = time.nanoTime();
        boolean valid = t.valid(now);
        HolderHandover state =
                handover.toBuilder().setResource(resource).setFencing(t.fencing()).build();
        releaseGrants(t);
        t.end(now + GrantTable.HOLD_OFF_NANOS);
        flush(out);
        for (String id : t.set().grantors()) {
            if (valid && !id.equals(self) && isLive(id)) {
                Envelope.Builder body = Envelope.newBuilder().setHolderHandover(state);
                out.add(new Effect.SendPeer(id, body, false));
                return;
            }
        }
    }
}
