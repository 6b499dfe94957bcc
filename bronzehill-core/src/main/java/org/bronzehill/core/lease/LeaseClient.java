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

    /** Delay per live candidate of higher preference, so that candidates do not compete. */
    private static final long RANK_DELAY_NANOS = 700_000_000L;

    /**
     * An attempt without a majority blocks the grantors that have granted it. It is abandoned after
     * this many rounds (2.4 s), so that a candidate that reaches more grantors can succeed.
     */
    private static final int MAX_CLAIM_ROUNDS = 8;

    private static final long FAILED_ATTEMPT_BACKOFF_NANOS = 1_000_000_000L;
    private static final long SPLIT_GRANTS_BACKOFF_NANOS = 100_000_000L;

    /**
     * Applies if a majority of the grantors has named another instance as holder. It is longer than
     * the renewal interval, so that the next renewal of that holder also obtains the grant of this
     * instance, which this instance's failed attempt had taken.
     */
    private static final long OTHER_HOLDER_BACKOFF_NANOS = RENEWAL_INTERVAL_NANOS + 100_000_000L;

    private static final long MAX_JITTER_MS = 400;
    private static final long HANDOVER_LIFETIME_NANOS = 5_000_000_000L;

    /**
     * If the grantors have lost the intents of earlier holders, the holder's own list counts as
     * complete after this time. This does not protect against an eviction order of an earlier
     * holder that is delayed for longer.
     */
    private static final long INTENTS_COMPLETE_AFTER_NANOS = 60_000_000_000L;

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
        LeaseState leaseState = states.get(resource);
        return leaseState != null && leaseState.isValid(time.nanoTime());
    }

    Lease lease(String resource) {
        return states.get(resource).lease();
    }

    boolean isLive(String id) {
        return id.equals(self)
                ? !membership.leaving()
                : membership.peer(id).exists(p -> p.status().isLive());
    }

    void updateGrantors(Map<String, GrantorSet> sets, Set<String> resourcesAsGrantor, Effects out) {
        long now = time.nanoTime();
        for (String resource : List.copyOf(states.keySet())) {
            LeaseState leaseState = states.get(resource);
            GrantorSet set = sets.get(resource);
            if (set != null
                    && set.inScope()
                    && (resourcesAsGrantor.contains(resource) || leaseState.lease() != null)) {
                leaseState.updateGrantors(set, now);
            } else {
                boolean held = leaseState.lease() != null;
                states.remove(resource);
                if (held) {
                    reportLost(resource, out);
                }
            }
        }
        for (String resource : resourcesAsGrantor) {
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
        boolean mayNotAcquire = membership.leaving() || membership.superseded() || isSuspended(now);
        for (Map.Entry<String, LeaseState> e : states.entrySet()) {
            LeaseState leaseState = e.getValue();
            if (leaseState.lease() != null && !leaseState.isValid(now)) {
                leaseState.end(now);
                reportLost(e.getKey(), out);
            }
            if (leaseState.lease() != null) {
                if (renew && !membership.superseded()) {
                    claim(leaseState, now);
                    resendIntents(leaseState, out);
                }
            } else if (!mayNotAcquire) {
                tryAcquire(e.getKey(), leaseState, now);
            }
        }
        flush(out);
        reportConfirmed(out);
    }

    /**
     * Ends the suspension if the instance list has been confirmed since its start. Returns whether
     * this instance is still suspended.
     */
    private boolean isSuspended(long now) {
        if (suspended && membership.listConfirmedSince(suspendedAtNanos)) {
            suspended = false;
        }
        return suspended;
    }

    private void tryAcquire(String resource, LeaseState leaseState, long now) {
        String holder = leaseState.set().contains(self) ? grants.holder(resource) : null;
        boolean handover = handovers.containsKey(resource);
        if (holder != null && !holder.equals(self) && !handover) {
            abandonAttempt(leaseState, now);
            return;
        }
        if (leaseState.isBackingOff(now)
                || !leaseState.isClaimDue(now)
                || !leaseState.set().contains(self)) {
            return;
        }
        long freeNanos = now - grants.freeSinceNanos(resource);
        if (!leaseState.isAcquiring()
                && !handover
                && freeNanos < liveCandidatesBefore(leaseState.set()) * RANK_DELAY_NANOS) {
            return;
        }
        if (!handover
                && (leaseState.cannotReachMajority()
                        || leaseState.countClaimRound() > MAX_CLAIM_ROUNDS)) {
            abandonAttempt(leaseState, now + backoffNanos(leaseState) + jitterNanos(resource));
            return;
        }
        if (handover) {
            leaseState.countClaimRound();
            leaseState.observeFencing(handovers.get(resource).state().getFencing());
        }
        // The wall clock keeps the numbers growing even if all instances have lost them in a
        // restart. The shift leaves room for 256 numbers per millisecond.
        leaseState.chooseFencing(time.instant().toEpochMilli() << 8);
        claim(leaseState, now);
        leaseState.scheduleClaim(now + (handover ? HANDOVER_CLAIM_RETRY_NANOS : CLAIM_RETRY_NANOS));
    }

    private static long backoffNanos(LeaseState leaseState) {
        if (leaseState.majorityNamesOneHolder()) {
            return OTHER_HOLDER_BACKOFF_NANOS;
        }
        return leaseState.cannotReachMajority()
                ? SPLIT_GRANTS_BACKOFF_NANOS
                : FAILED_ATTEMPT_BACKOFF_NANOS;
    }

    /**
     * Returns a delay computed from a hash of the resource, a counter and this instance's id. It
     * usually differs between candidates, so that those that split the grants between them do not
     * collide again.
     */
    private long jitterNanos(String resource) {
        long h = RendezvousHash.weight(resource + jitterSequence++, self);
        return Math.floorMod(h, MAX_JITTER_MS) * 1_000_000;
    }

    private int liveCandidatesBefore(GrantorSet set) {
        int count = 0;
        for (String id : set.grantors()) {
            if (id.equals(self)) {
                break;
            }
            count += isLive(id) ? 1 : 0;
        }
        return count;
    }

    private void claim(LeaseState leaseState, long now) {
        LeaseClaim c = leaseState.claim(now, INTENTS_COMPLETE_AFTER_NANOS);
        leaseState.set().grantors().forEach(g -> grantorRequests.queueClaim(g, c));
    }

    private void abandonAttempt(LeaseState leaseState, long backoffUntilNanos) {
        if (leaseState.isAcquiring()) {
            releaseGrants(leaseState);
            leaseState.end(backoffUntilNanos);
        }
    }

    private void releaseGrants(LeaseState leaseState) {
        LeaseClaim c =
                LeaseClaim.newBuilder()
                        .setResource(leaseState.set().resource())
                        .setFencing(leaseState.fencing())
                        .build();
        leaseState.set().grantors().forEach(g -> grantorRequests.queueRelease(g, c));
    }

    private void flush(Effects out) {
        grantorRequests.flush(this::onAnswer, out);
    }

    void onAnswer(String grantor, LeaseAnswer answer, long sentAtNanos) {
        LeaseState leaseState = states.get(answer.getResource());
        if (leaseState == null) {
            return;
        }
        long now = time.nanoTime();
        if (answer.getGranted()) {
            leaseState.onGranted(
                    grantor, answer, sentAtNanos + GrantTable.LEASE_DURATION_NANOS, now);
        } else if (answer.getFencing() == leaseState.fencing()) {
            leaseState.onRefused(grantor, answer);
        }
    }

    /** Starts the leases and reports the intents that a majority of the grantors has confirmed. */
    void reportConfirmed(Effects out) {
        long now = time.nanoTime();
        boolean mayNotAcquire = membership.leaving() || membership.superseded() || isSuspended(now);
        for (Map.Entry<String, LeaseState> e : List.copyOf(states.entrySet())) {
            LeaseState leaseState = e.getValue();
            if (leaseState.lease() == null
                    && leaseState.isAcquiring()
                    && !mayNotAcquire
                    && leaseState.hasMajority(now)) {
                reportAcquired(e.getKey(), leaseState, out);
            }
            if (leaseState.lease() != null) {
                for (String handle : leaseState.newlyAcknowledgedIntents()) {
                    listener.onIntentAcknowledged(e.getKey(), handle, out);
                }
            }
        }
    }

    private void reportAcquired(String resource, LeaseState leaseState, Effects out) {
        Handover h = handovers.remove(resource);
        // The handover is outdated if another instance has held the lease since.
        boolean current = h != null && h.state().getFencing() >= leaseState.previousFencing();
        Option<HolderHandover> state = current ? Option.some(h.state()) : Option.none();
        Lease lease =
                leaseState.acquire(
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
        LeaseState leaseState = states.get(state.getResource());
        if (leaseState != null && leaseState.lease() == null && handovers.size() < limit) {
            handovers.put(state.getResource(), new Handover(state, time.nanoTime()));
            leaseState.scheduleClaim(time.nanoTime());
        }
    }

    void announceIntent(String resource, String handle, Effects out) {
        LeaseState leaseState = states.get(resource);
        if (leaseState.addIntent(handle)) {
            for (String grantor : leaseState.set().grantors()) {
                sendIntent(leaseState, grantor, handle, false, out);
            }
        }
    }

    private void sendIntent(
            LeaseState leaseState, String grantor, String handle, boolean end, Effects out) {
        IntentRequest.Builder r =
                IntentRequest.newBuilder()
                        .setResource(leaseState.set().resource())
                        .setFencing(leaseState.fencing())
                        .setHandle(handle)
                        .setFinished(end);
        IntentReply reply = grantorRequests.sendIntent(grantor, r, out);
        if (reply != null && !end && reply.getAccepted()) {
            leaseState.recordIntent(handle, grantor);
        }
    }

    private void resendIntents(LeaseState leaseState, Effects out) {
        for (String grantor : leaseState.set().grantors()) {
            for (String handle : leaseState.unrecordedIntents(grantor)) {
                sendIntent(leaseState, grantor, handle, false, out);
            }
        }
    }

    void onIntentReply(String from, IntentReply reply, Effects out) {
        GrantorRequests.PendingRequest sent =
                grantorRequests.takePending(from, reply.getSequence());
        LeaseState leaseState = states.get(reply.getResource());
        if (sent != null
                && leaseState != null
                && reply.getAccepted()
                && sent.fencing() == leaseState.fencing()) {
            leaseState.recordIntent(reply.getHandle(), from);
            reportConfirmed(out);
        }
    }

    void finishIntent(String resource, String handle, Effects out) {
        LeaseState leaseState = states.get(resource);
        if (leaseState != null && leaseState.lease() != null && leaseState.removeIntent(handle)) {
            for (String grantor : leaseState.set().grantors()) {
                sendIntent(leaseState, grantor, handle, true, out);
            }
        }
    }

    void observeFencing(String resource, long fencing) {
        LeaseState leaseState = states.get(resource);
        if (leaseState != null) {
            leaseState.observeFencing(fencing);
        }
    }

    void dropAll(Effects out) {
        suspended = true;
        suspendedAtNanos = time.nanoTime();
        grantorRequests.discardPending();
        handovers.clear();
        List<String> dropped = new ArrayList<>();
        states.forEach(
                (resource, leaseState) -> {
                    if (leaseState.lease() != null) {
                        dropped.add(resource);
                    }
                    leaseState.end(suspendedAtNanos);
                });
        dropped.forEach(r -> reportLost(r, out));
    }

    void release(String resource, HolderHandover handover, Effects out) {
        LeaseState leaseState = states.get(resource);
        if (leaseState == null || leaseState.lease() == null) {
            return;
        }
        long now = time.nanoTime();
        boolean valid = leaseState.isValid(now);
        HolderHandover state =
                handover.toBuilder().setResource(resource).setFencing(leaseState.fencing()).build();
        releaseGrants(leaseState);
        leaseState.end(now + GrantTable.GRANT_HOLD_OFF_NANOS);
        flush(out);
        for (String id : leaseState.set().grantors()) {
            if (valid && !id.equals(self) && isLive(id)) {
                Envelope.Builder body = Envelope.newBuilder().setHolderHandover(state);
                out.add(new Effect.SendPeer(id, body, false));
                return;
            }
        }
    }
}
