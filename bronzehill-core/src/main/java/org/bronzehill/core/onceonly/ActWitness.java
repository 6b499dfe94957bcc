package org.bronzehill.core.onceonly;

import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.protocol.generated.ActClaim;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActClaimReply;
import org.bronzehill.protocol.generated.ActState;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Votes on claims. A witness accepts one claim per key. It replaces the claim only by a later
 * attempt of the same executor, or when the executor of the claim has promised never to execute
 * exactly that attempt. Claims copied from other witnesses may conflict with each other; each of
 * them is kept, and blocks the claims of other executors, until it may be replaced in this way.
 */
final class ActWitness {

    private final ClusterView peers;
    private final ClaimTable claims;
    private final ClaimCopier copier;

    ActWitness(ClusterView peers, ClaimTable claims, ClaimCopier copier) {
        this.peers = peers;
        this.claims = claims;
        this.copier = copier;
    }

    void onClaim(Envelope envelope, Effects out) {
        ActClaim claim = envelope.getActClaim();
        ActClaimReply.Builder reply = vote(claim, envelope.getListVersion());
        out.add(
                new Effect.SendPeer(
                        envelope.getFrom(), Envelope.newBuilder().setActClaimReply(reply), false));
    }

    /** Returns the vote on a claim that was made under the given version of the instance list. */
    ActClaimReply.Builder vote(ActClaim request, long claimListVersion) {
        ActClaimRecord claim = request.getClaim();
        ActClaimReply.Builder reply =
                ActClaimReply.newBuilder().setKey(claim.getKey()).setAttempt(claim.getAttempt());
        claims.find(claim.getKey()).stream()
                .filter(c -> !ClaimTable.sameExecutor(c, claim) && mayReplace(c, request))
                .forEach(claims::remove);
        for (ActClaimRecord existing : claims.find(claim.getKey())) {
            if (!mayReplace(existing, request)) {
                return reply.setStanding(existing);
            }
        }
        boolean sameList =
                claimListVersion == peers.listVersion()
                        && claimListVersion >= copier.highestListVersion();
        if (!sameList || !copier.mayVote(claim.getKey())) {
            return reply.setAbstained(true);
        }
        if (claims.find(claim.getKey()).isEmpty() && !claims.hasRoom()) {
            return reply.setAbstained(true);
        }
        claims.put(claim);
        return reply.setAccepted(true);
    }

    private static boolean mayReplace(ActClaimRecord existing, ActClaim request) {
        ActClaimRecord claim = request.getClaim();
        if (ClaimTable.sameExecutor(existing, claim)) {
            return claim.getAttempt() >= existing.getAttempt()
                    && existing.getState() != ActState.ACT_STATE_DONE;
        }
        return existing.getState() == ActState.ACT_STATE_ABANDONED
                || request.getReplacesExecutor().equals(existing.getExecutor())
                        && request.getReplacesIncarnation() == existing.getExecutorIncarnation()
                        && request.getReplacesAttempt() == existing.getAttempt();
    }

    /** Records the outcome of an attempt, as reported by its executor. */
    void recordOutcome(ActClaimRecord ended) {
        claims.recordOutcome(ended);
    }

    ClaimTable claims() {
        return claims;
    }
}
