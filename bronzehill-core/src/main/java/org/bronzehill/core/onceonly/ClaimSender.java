package org.bronzehill.core.onceonly;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.Input.ServiceAnswer;
import org.bronzehill.protocol.generated.ActClaim;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActClaimReply;
import org.bronzehill.protocol.generated.ActStatus;
import org.bronzehill.protocol.generated.Envelope;

/** Sends the claims of an executor and later their outcome to the witnesses of an act. */
final class ClaimSender {

    /**
     * Largest answer that is sent to witnesses. A later coordinator gets a larger one by a lookup
     * at the application service.
     */
    private static final int MAX_RECORDED_ANSWER_BYTES = 4096;

    private final ClusterView peers;
    private final ActWitness localWitness;

    ClaimSender(ClusterView peers, ActWitness localWitness) {
        this.peers = peers;
        this.localWitness = localWitness;
    }

    /**
     * Sends the claim to every witness that has not accepted it. Returns the vote of this instance
     * if it is a witness.
     */
    List<ActClaimReply> send(ActExecution act, Effects out) {
        if (act.claimListVersion != peers.listVersion()) {
            act.accepted().clear();
            act.claimListVersion = peers.listVersion();
        }
        ActClaim.Builder claim =
                ActClaim.newBuilder().setClaim(act.record(peers.selfId(), peers.selfIncarnation()));
        if (act.replacedClaim != null) {
            claim.setReplacesExecutor(act.replacedClaim.getExecutor())
                    .setReplacesIncarnation(act.replacedClaim.getExecutorIncarnation())
                    .setReplacesAttempt(act.replacedClaim.getAttempt());
        }
        List<ActClaimReply> localVotes = new ArrayList<>();
        for (String witness : WitnessSets.witnesses(act.key(), peers.listedInstances())) {
            if (act.accepted().contains(witness)) {
                continue;
            }
            if (witness.equals(peers.selfId())) {
                localVotes.add(localWitness.vote(claim.build(), act.claimListVersion).build());
            } else {
                Envelope.Builder envelope = Envelope.newBuilder().setActClaim(claim.clone());
                out.add(new Effect.SendPeer(witness, envelope, false));
            }
        }
        return localVotes;
    }

    /**
     * Returns whether a majority of the witnesses under the current list has accepted the attempt.
     */
    boolean hasMajority(ActExecution act) {
        if (act.claimListVersion != peers.listVersion()) {
            return false;
        }
        List<String> witnesses = WitnessSets.witnesses(act.key(), peers.listedInstances());
        long accepted = witnesses.stream().filter(act.accepted()::contains).count();
        return !witnesses.isEmpty() && accepted >= WitnessSets.quorum(witnesses.size());
    }

    /** Sends the outcome of the attempt to the witnesses, so that a later coordinator finds it. */
    void sendOutcome(ActExecution act, Effects out) {
        ActClaimRecord record = act.record(peers.selfId(), peers.selfIncarnation());
        if (record.getAnswer().size() > MAX_RECORDED_ANSWER_BYTES) {
            record = record.toBuilder().setHttpStatus(0).setAnswer(ByteString.EMPTY).build();
        }
        for (String witness : WitnessSets.witnesses(act.key(), peers.listedInstances())) {
            if (witness.equals(peers.selfId())) {
                localWitness.recordOutcome(record);
            } else {
                Envelope.Builder envelope =
                        Envelope.newBuilder().setActStatus(ActStatus.newBuilder().setClaim(record));
                out.add(new Effect.SendPeer(witness, envelope, false));
            }
        }
    }

    static ActAnswer toActAnswer(ServiceAnswer answer, String upstream) {
        return new ActAnswer(
                answer.httpStatus(),
                answer.contentType(),
                ByteString.copyFrom(answer.body()),
                upstream);
    }
}
