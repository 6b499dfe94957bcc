package org.bronzehill.core.onceonly;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActState;

/** State of one act at its coordinator. */
final class ActExecution {

    /** Phases of an act at its coordinator. */
    enum Phase {
        /** Claims are sent and a majority of the witnesses has not yet accepted them. */
        CLAIMING,
        /** Queries the executor of a conflicting claim for the state of its attempt. */
        QUERYING,
        /** The claim is accepted; the act is looked up before the runner is called. */
        CHECKING,
        /** The runner has been called and has not answered. */
        RUNNING,
        /** The act may have run and is looked up. */
        RESOLVING,
        DONE,
        /** This attempt will never be executed. */
        ABANDONED,
        MAY_HAVE_RUN;

        boolean isEnded() {
            return this == DONE || this == ABANDONED || this == MAY_HAVE_RUN;
        }
    }

    /**
     * A request that waits for the act.
     *
     * @param origin instance that forwarded the request; this instance for its own callers
     */
    record Waiter(String origin, String requestId) {}

    /** Request for which the current attempt is made. */
    private ActRequest request;

    private final ByteString digest;
    private final List<Waiter> waiters = new ArrayList<>();
    private final Set<String> accepted = new HashSet<>();
    private final Map<Long, String> lookups = new HashMap<>();

    Phase phase = Phase.CLAIMING;
    int attempt;
    long startedNanos;
    long expiryNanos;

    /**
     * Time at which claims, queries or lookups are sent again or, in the phase CHECKING, the runner
     * is called although lookups have not been answered.
     */
    long nextStepNanos;

    long callId;
    String runner = "";
    ActClaimRecord conflictingClaim;
    ActClaimRecord replacedClaim;
    ActAnswer answer = ActAnswer.NONE;

    /** Whether the answer was found by a lookup or in a claim, not returned by a call. */
    boolean answerFromRecord;

    /**
     * Whether the current attempt has called a runner; false again once the call is proven not to
     * have run.
     */
    boolean callStarted;

    /** Version of the instance list under which the current claims were sent. */
    long claimListVersion;

    ActExecution(ActRequest request) {
        this.request = request;
        this.digest = request.digest();
    }

    String key() {
        return request.scopedKey();
    }

    ActRequest request() {
        return request;
    }

    ByteString digest() {
        return digest;
    }

    List<Waiter> waiters() {
        return waiters;
    }

    /** Returns the witnesses that accepted the current attempt. */
    Set<String> accepted() {
        return accepted;
    }

    /** Returns the runners queried by the current lookup, by call id. */
    Map<Long, String> lookups() {
        return lookups;
    }

    /** Starts a new attempt for a request for the same act. */
    void begin(ActRequest cause, long nowNanos, long attemptExpiryNanos) {
        request = cause;
        attempt++;
        phase = Phase.CLAIMING;
        accepted.clear();
        lookups.clear();
        conflictingClaim = null;
        callStarted = false;
        startedNanos = nowNanos;
        expiryNanos = attemptExpiryNanos;
        nextStepNanos = nowNanos;
    }

    /** Returns the state of the current attempt as reported to other instances. */
    ActState reportedState() {
        return switch (phase) {
            case DONE -> ActState.ACT_STATE_DONE;
            case CLAIMING, CHECKING -> ActState.ACT_STATE_CLAIMING;
            case RUNNING -> ActState.ACT_STATE_RUNNING;
            case ABANDONED, QUERYING -> ActState.ACT_STATE_ABANDONED;
            case RESOLVING ->
                    callStarted ? ActState.ACT_STATE_RUNNING : ActState.ACT_STATE_ABANDONED;
            case MAY_HAVE_RUN ->
                    callStarted ? ActState.ACT_STATE_MAY_HAVE_RUN : ActState.ACT_STATE_ABANDONED;
        };
    }

    /** Returns the claim of the current attempt as sent to other instances. */
    ActClaimRecord record(String executor, long incarnation) {
        return ActClaimRecord.newBuilder()
                .setKey(key())
                .setExecutor(executor)
                .setExecutorIncarnation(incarnation)
                .setAttempt(attempt)
                .setState(reportedState())
                .setDigest(digest)
                .setHttpStatus(answer.httpStatus())
                .setContentType(answer.contentType())
                .setAnswer(answer.body())
                .setUpstream(answer.upstream())
                .build();
    }
}
