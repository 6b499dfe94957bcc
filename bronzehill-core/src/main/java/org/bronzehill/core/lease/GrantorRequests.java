package org.bronzehill.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.lease.GrantTable.Claimant;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.IntentReply;
import org.bronzehill.protocol.generated.IntentRequest;
import org.bronzehill.protocol.generated.LeaseAnswer;
import org.bronzehill.protocol.generated.LeaseClaim;
import org.bronzehill.protocol.generated.LeaseRelease;
import org.bronzehill.protocol.generated.LeaseRequest;

/**
 * Sends this instance's claims, releases and intents to the grantors. All claims that are queued
 * for a grantor are sent in one message, and so are all releases. The send times of the claims are
 * recorded, because the duration of a granted lease is measured from them. If this instance is
 * itself a grantor, its grant table is called directly.
 */
final class GrantorRequests {

    /**
     * A grant lasts for the lease duration from the send of its request; a later reply is useless.
     */
    private static final long REPLY_TIMEOUT_NANOS = GrantTable.LEASE_DURATION_NANOS;

    private final Claimant self;
    private final GrantTable local;
    private final TimeSource time;
    private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
    private final Map<String, List<LeaseClaim>> queuedClaims = new HashMap<>();
    private final Map<String, List<LeaseClaim>> queuedReleases = new HashMap<>();
    private long sequence;

    GrantorRequests(Claimant self, GrantTable local, TimeSource time) {
        this.self = self;
        this.local = local;
        this.time = time;
    }

    /** A request without a reply so far; {@code fencing} is set only for an intent. */
    record PendingRequest(String grantor, long sentAtNanos, long fencing) {}

    /**
     * Receives the answers of this instance's own grant table; those of other grantors arrive as
     * messages.
     */
    interface AnswerSink {
        void onAnswer(String grantor, LeaseAnswer answer, long sentAtNanos);
    }

    void queueClaim(String grantor, LeaseClaim claim) {
        queuedClaims.computeIfAbsent(grantor, k -> new ArrayList<>()).add(claim);
    }

    void queueRelease(String grantor, LeaseClaim claim) {
        List<LeaseClaim> unsent = queuedClaims.get(grantor);
        if (unsent != null) {
            unsent.removeIf(c -> c.getResource().equals(claim.getResource()));
        }
        if (grantor.equals(self.id())) {
            local.release(self, claim);
        } else {
            queuedReleases.computeIfAbsent(grantor, k -> new ArrayList<>()).add(claim);
        }
    }

    /** Sends the queued requests, releases before claims. */
    void flush(AnswerSink sink, Effects out) {
        long now = time.nanoTime();
        pending.values().removeIf(s -> now - s.sentAtNanos() > REPLY_TIMEOUT_NANOS);
        queuedReleases.forEach(
                (grantor, list) -> {
                    LeaseRelease.Builder b = LeaseRelease.newBuilder().addAllClaims(list);
                    send(grantor, Envelope.newBuilder().setLeaseRelease(b), out);
                });
        queuedReleases.clear();
        Map<String, List<LeaseClaim>> batch = new HashMap<>(queuedClaims);
        queuedClaims.clear();
        batch.forEach(
                (grantor, list) -> {
                    if (list.isEmpty()) {
                        return;
                    }
                    long seq = ++sequence;
                    if (grantor.equals(self.id())) {
                        list.forEach(c -> sink.onAnswer(grantor, local.claim(self, seq, c), now));
                        return;
                    }
                    pending.put(seq, new PendingRequest(grantor, now, 0));
                    LeaseRequest.Builder b =
                            LeaseRequest.newBuilder()
                                    .setSequence(seq)
                                    .setLeaseMs(GrantTable.LEASE_DURATION_NANOS / 1_000_000)
                                    .addAllClaims(list);
                    send(grantor, Envelope.newBuilder().setLeaseRequest(b), out);
                });
    }

    /** Sends an intent; returns the reply if this instance is the grantor, otherwise null. */
    IntentReply sendIntent(String grantor, IntentRequest.Builder request, Effects out) {
        IntentRequest r = request.setSequence(++sequence).build();
        if (grantor.equals(self.id())) {
            return reply(r, local.updateIntent(self, r));
        }
        if (!r.getFinished()) {
            pending.put(
                    r.getSequence(), new PendingRequest(grantor, time.nanoTime(), r.getFencing()));
        }
        send(grantor, Envelope.newBuilder().setIntentRequest(r), out);
        return null;
    }

    static IntentReply reply(IntentRequest request, boolean accepted) {
        return IntentReply.newBuilder()
                .setSequence(request.getSequence())
                .setResource(request.getResource())
                .setHandle(request.getHandle())
                .setAccepted(accepted)
                .build();
    }

    /** Removes and returns the request of a reply; {@code null} if it is late or not expected. */
    PendingRequest takePending(String grantor, long replySequence) {
        PendingRequest sent = pending.get(replySequence);
        if (sent == null || !sent.grantor().equals(grantor)) {
            return null;
        }
        pending.remove(replySequence);
        return sent;
    }

    /**
     * Discards all pending requests, so that their replies are ignored, and the claims that have
     * not been sent. Queued releases are kept.
     */
    void discardPending() {
        pending.clear();
        queuedClaims.clear();
    }

    private static void send(String to, Envelope.Builder body, Effects out) {
        out.add(new Effect.SendPeer(to, body, false));
    }
}
