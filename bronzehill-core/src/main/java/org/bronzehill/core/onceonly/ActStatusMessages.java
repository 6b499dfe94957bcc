package org.bronzehill.core.onceonly;

import org.bronzehill.core.onceonly.ActExecution.Phase;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActQuery;
import org.bronzehill.protocol.generated.ActState;
import org.bronzehill.protocol.generated.ActStatus;
import org.bronzehill.protocol.generated.Envelope;

/** Builds the query to the executor of a conflicting claim, and the reply to it. */
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
     * Returns the reply of this instance to a query.
     *
     * @param act state of the act at this instance; null if the act is unknown
     */
    static Envelope.Builder reply(ActQuery query, ActExecution act, ClusterView peers) {
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
