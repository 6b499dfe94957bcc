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

/** Acquires and keeps leases as a candidate or holder: claims, renewals, intents and handovers. */
final class LeaseClient {

    private static final long RENEWAL_INTERVAL_NANOS = 600_000_000L;
    private static final long CLAIM_RETRY_NANOS = 300_000_000L;
    private static final long HANDOVER_CLAIM_RETRY_NANOS = 100_000_000L;

    /** Delay of each candidate behind the previous one, so that they do not compete. */
    private static final long RANK_DELAY_NANOS = 700_000_000L;

    /**
     * An attempt without a majority blocks the grantors that have granted it. It is abandoned after
     * this many rounds (2.4 s), so that a candidate that reaches more grantors can succeed.
     */
    private static final int MAX_CLAIM_ROUNDS = 8;

    private static final long FAILED_ATTEMPT_BACKOFF_NANOS = 1_000_000_000L;
    private static final long SPLIT_VOTE_BACKOFF_NANOS = 100_000_000L;

    /**
     * Longer than the renewal interval, so that the other holder's next renewal finds the grant of
     * this instance free.
     */
    private static final long OTHER_HOLDER_BACKOFF_NANOS = RENEWAL_INTERVAL_NANOS + 100_000_000L;

    private static final long MAX_JITTER_MS = 400;
    private static final long HANDOVER_LIFETIME_NANOS = 5_000_000_000L;

    /**
     * If the grantors have lost the intents of earlier holders, the holder's own list counts as
     * complete after this time. An eviction order that is delayed for longer is not covered.
     */
    private static final long INTENT_HISTORY_NANOS = 60_000_000_000L;

    private final Membership membership;
    private final String self;
    private final TimeSource time;
    private final GrantTable grants;
    private final GrantorRequests grantorRequests;
    private final LeaseListener listener;
    private final Map<String, LeaseState> states = new TreeMap<>();
    private final Map<String, Handover> handovers = new HashMap<>();
    private long suspendedAtNanos;
    private boolean suspended;
    private long nextRenewalNanos;
    private long jitterSequence;

    private record Handover(HolderHandover state, long receivedAtNanos) {}

    LeaseClient(
            Membership membership,
            TimeSource time,
            GrantTable grants,
            GrantorRequests grantorRequests,
            LeaseListener listener) {
        this.membership = membership;
        this.self = membership.self().id();
        this.time = time;
        this.grants = grants;
        this.grantorRequests = grantorRequests;
        this.listener = listener;
        this.nextRenewalNanos = time.nanoTime();
    }

    Set<String> resources() {
        return states.keySet();
    }

    boolean holds(String resource) {
        LeaseState t = states.get(resource);
        return t != null && t.isValid(time.nanoTime());
    }

    Lease lease(String resource) {
        return states.get(resource).lease();
    }

    boolean isLive(String id) {
        return id.equals(self)
                ? !membership.leaving()
                : membership.peer(id).exists(p -> p.status().isLive());
    }

    void updateGrantors(Map<String, GrantorSet> sets, Set<String> grantedHere, Effects out) {
        long now = time.nanoTime();
        for (String resource : List.copyOf(states.keySet())) {
            LeaseState t = states.get(resource);
            GrantorSet set = sets.get(resource);
            if (set != null
                    && set.inScope()
                    && (grantedHere.contains(resource) || t.lease() != null)) {
                t.updateGrantors(set, now);
            } else {
                boolean held = t.lease() != null;
                states.remove(resource);
                if (held) {
                    reportLost(resource, out);
                }
            }
        }
        for (String resource : grantedHere) {
            states.computeIfAbsent(resource, r -> new LeaseState(sets.get(r), now));
        }
        handovers.keySet().retainAll(sets.keySet());
        // Renew at once: grantors that already use this list have refused renewals under the old
        // one.
        nextRenewalNanos = now;
    }

    void onTick(Effects out) {
        long now = time.nanoTime();
        handovers.values().removeIf(h -> now - h.receivedAtNanos() > HANDOVER_LIFETIME_NANOS);
        boolean renew = now - nextRenewalNanos >= 0;
        if (renew) {
            nextRenewalNanos = now + RENEWAL_INTERVAL_NANOS;
        }
        boolean idle = membership.leaving() || membership.superseded() || isSuspended(now);
        for (Map.Entry<String, LeaseState> e : states.entrySet()) {
            LeaseState t = e.getValue();
            if (t.lease() != null && !t.isValid(now)) {
                t.end(now);
                reportLost(e.getKey(), out);
            }
            if (t.lease() != null) {
                if (renew && !membership.superseded()) {
                    claim(t, now);
                    resendIntents(t, out);
                }
            } else if (!idle) {
                tryAcquire(e.getKey(), t, now);
            }
        }
        flush(out);
        reportMajorities(out);
    }

    private boolean isSuspended(long now) {
        if (suspended && membership.listConfirmedSince(suspendedAtNanos)) {
            suspended = false;
        }
        return suspended;
    }

    private void tryAcquire(String resource, LeaseState t, long now) {
        String holder = t.set().contains(self) ? grants.holder(resource) : null;
        boolean handover = handovers.containsKey(resource);
        if (holder != null && !holder.equals(self) && !handover) {
            abandonAttempt(t, now);
            return;
        }
        if (t.isBackingOff(now) || !t.isClaimDue(now) || !t.set().contains(self)) {
            return;
        }
        long free = now - grants.freeSinceNanos(resource);
        if (!t.isAcquiring()
                && !handover
                && free < liveCandidatesBefore(t.set()) * RANK_DELAY_NANOS) {
            return;
        }
        if (!handover && (t.cannotReachMajority() || t.countClaimRound() > MAX_CLAIM_ROUNDS)) {
            abandonAttempt(t, now + backoffNanos(t) + jitterNanos(resource));
            return;
        }
        if (handover) {
            t.countClaimRound();
            t.observeFencing(handovers.get(resource).state().getFencing());
        }
        t.chooseFencing(time.instant().toEpochMilli() << 8);
        claim(t, now);
        t.scheduleClaim(now + (handover ? HANDOVER_CLAIM_RETRY_NANOS : CLAIM_RETRY_NANOS));
    }

    private static long backoffNanos(LeaseState t) {
        if (t.majorityNamesOneHolder()) {
            return OTHER_HOLDER_BACKOFF_NANOS;
        }
        return t.cannotReachMajority() ? SPLIT_VOTE_BACKOFF_NANOS : FAILED_ATTEMPT_BACKOFF_NANOS;
    }

    /** Returns a random delay, so that candidates that split the votes do not collide again. */
    private long jitterNanos(String resource) {
        long h = RendezvousHash.weight(resource + jitterSequence++, self);
        return Math.floorMod(h, MAX_JITTER_MS) * 1_000_000;
    }

    private int liveCandidatesBefore(GrantorSet set) {
        int rank = 0;
        for (String id : set.grantors()) {
            if (id.equals(self)) {
                break;
            }
            rank += isLive(id) ? 1 : 0;
        }
        return rank;
    }

    private void claim(LeaseState t, long now) {
        LeaseClaim c = t.claim(now, INTENT_HISTORY_NANOS);
        t.set().grantors().forEach(g -> grantorRequests.queueClaim(g, c));
    }

    private void abandonAttempt(LeaseState t, long backoffUntilNanos) {
        if (t.isAcquiring()) {
            releaseGrants(t);
            t.end(backoffUntilNanos);
        }
    }

    private void releaseGrants(LeaseState t) {
        LeaseClaim c =
                LeaseClaim.newBuilder()
                        .setResource(t.set().resource())
                        .setFencing(t.fencing())
                        .build();
        t.set().grantors().forEach(g -> grantorRequests.queueRelease(g, c));
    }

    private void flush(Effects out) {
        grantorRequests.flush(this::onAnswer, out);
    }

    void onAnswer(String grantor, LeaseAnswer answer, long sentAtNanos) {
        LeaseState t = states.get(answer.getResource());
        if (t == null) {
            return;
        }
        long now = time.nanoTime();
        if (answer.getGranted()) {
            t.onGranted(grantor, answer, sentAtNanos + GrantTable.LEASE_DURATION_NANOS, now);
        } else if (answer.getFencing() == t.fencing()) {
            t.onRefused(grantor, answer);
        }
    }

    /** Reports the leases and intents that a majority of the grantors has confirmed. */
    void reportMajorities(Effects out) {
        long now = time.nanoTime();
        boolean idle = membership.leaving() || membership.superseded() || isSuspended(now);
        for (Map.Entry<String, LeaseState> e : List.copyOf(states.entrySet())) {
            LeaseState t = e.getValue();
            if (t.lease() == null && t.isAcquiring() && !idle && t.hasMajority(now)) {
                reportAcquired(e.getKey(), t, out);
            }
            if (t.lease() != null) {
                for (String handle : t.newlyAcknowledgedIntents()) {
                    listener.onIntentAcknowledged(e.getKey(), handle, out);
                }
            }
        }
    }

    private void reportAcquired(String resource, LeaseState t, Effects out) {
        Handover h = handovers.remove(resource);
        // The handover is outdated if another instance has held the lease since.
        boolean current = h != null && h.state().getFencing() >= t.previousFencing();
        Option<HolderHandover> state = current ? Option.some(h.state()) : Option.none();
        Lease lease =
                t.acquire(
                        state.map(s -> (List<String>) s.getOpenIntentsList()).getOrNull(),
                        time.nanoTime());
        out.add(new Effect.RecordMetric(CoreMetric.LEASE_TAKEOVERS, resource, 1));
        listener.onAcquired(lease, state, out);
    }

    private void reportLost(String resource, Effects out) {
        out.add(new Effect.RecordMetric(CoreMetric.LEASE_LOSSES, resource, 1));
        listener.onLost(resource, out);
    }

    void onHandover(HolderHandover state, int limit) {
        LeaseState t = states.get(state.getResource());
        if (t != null && t.lease() == null && handovers.size() < limit) {
            handovers.put(state.getResource(), new Handover(state, time.nanoTime()));
            t.scheduleClaim(time.nanoTime());
        }
    }

    void announceIntent(String resource, String handle, Effects out) {
        LeaseState t = states.get(resource);
        if (t.addIntent(handle)) {
            for (String grantor : t.set().grantors()) {
                sendIntent(t, grantor, handle, false, out);
            }
        }
    }

    private void sendIntent(LeaseState t, String grantor, String handle, boolean end, Effects out) {
        IntentRequest.Builder r =
                IntentRequest.newBuilder()
                        .setResource(t.set().resource())
                        .setFencing(t.fencing())
                        .setHandle(handle)
                        .setFinished(end);
        IntentReply reply = grantorRequests.sendIntent(grantor, r, out);
        if (reply != null && !end && reply.getAccepted()) {
            t.recordIntent(handle, grantor);
        }
    }

    private void resendIntents(LeaseState t, Effects out) {
        for (String grantor : t.set().grantors()) {
            for (String handle : t.unrecordedIntents(grantor)) {
                sendIntent(t, grantor, handle, false, out);
            }
        }
    }

    void onIntentReply(String from, IntentReply reply, Effects out) {
        GrantorRequests.PendingRequest sent =
                grantorRequests.takePending(from, reply.getSequence());
        LeaseState t = states.get(reply.getResource());
        if (sent != null && t != null && reply.getAccepted() && sent.fencing() == t.fencing()) {
            t.recordIntent(reply.getHandle(), from);
            reportMajorities(out);
        }
    }

    void finishIntent(String resource, String handle, Effects out) {
        LeaseState t = states.get(resource);
        if (t != null && t.lease() != null && t.removeIntent(handle)) {
            for (String grantor : t.set().grantors()) {
                sendIntent(t, grantor, handle, true, out);
            }
        }
    }

    void observeFencing(String resource, long fencing) {
        LeaseState t = states.get(resource);
        if (t != null) {
            t.observeFencing(fencing);
        }
    }

    void dropAll(Effects out) {
        suspended = true;
        suspendedAtNanos = time.nanoTime();
        grantorRequests.discardPending();
        handovers.clear();
        List<String> dropped = new ArrayList<>();
        states.forEach(
                (resource, t) -> {
                    if (t.lease() != null) {
                        dropped.add(resource);
                    }
                    t.end(suspendedAtNanos);
                });
        dropped.forEach(r -> reportLost(r, out));
    }

    void release(String resource, HolderHandover handover, Effects out) {
        LeaseState t = states.get(resource);
        if (t == null || t.lease() == null) {
            return;
        }
        long now = time.nanoTime();
        boolean valid = t.isValid(now);
        HolderHandover state =
                handover.toBuilder().setResource(resource).setFencing(t.fencing()).build();
        releaseGrants(t);
        t.end(now + GrantTable.GRANT_HOLD_OFF_NANOS);
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
