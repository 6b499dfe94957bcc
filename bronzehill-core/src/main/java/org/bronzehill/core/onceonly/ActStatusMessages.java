package org.bronzehill.core.onceonly;

import org.bronzehill.core.onceonly.ActExecution.Phase;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActQuery;
import org.bronzehill.protocol.generated.ActState;
import org.bronzehill.protocol.generated.ActStatus;
import org.bronzehill.protocol.generated.Envelope;

/** Question to the executor whose claim stands in the way, and its answer. */
final class ActStatusMessages {

    private ActStatusMessages() {}

    static Envelope.Builder query(ActClaimRecord claim) {
        return Envelope.newBuilder()
                .setActQuery(
                        ActQuery.newBuilder()
                                .setKey(claim.getKey())
                                .setIncarnation(claim.getExecutorIncarnation())
                                .setAttempt(claim.getAttempt()));
    }

    /**
     * Returns the answer of this instance.
     *
     * @param act what this instance knows of the act; null if nothing
     */
    static Envelope.Builder reply(ActQuery query, ActExecution act, ActPeers peers) {
        ActClaimRecord.Builder status =
                ActClaimRecord.newBuilder()
                        .setKey(query.getKey())
                        .setExecutor(peers.selfId())
                        .setExecutorIncarnation(query.getIncarnation())
                        .setAttempt(query.getAttempt())
                        .setState(ActState.ACT_STATE_UNKNOWN);
        if (act != null && query.getIncarnation() == peers.selfIncarnation()) {
            if (act.attempt == query.getAttempt() || act.phase == Phase.DONE) {
                status =
                        act.record(peers.selfId(), peers.selfIncarnation()).toBuilder()
                                .setAttempt(query.getAttempt());
            } else if (act.attempt > query.getAttempt()) {
                status.setState(ActState.ACT_STATE_ABANDONED);
            }
        }
        return Envelope.newBuilder().setActStatus(ActStatus.newBuilder().setClaim(status));
    }
}
