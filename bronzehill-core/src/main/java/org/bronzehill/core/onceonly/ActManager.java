package org.bronzehill.core.onceonly;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.IdSequence;
import org.bronzehill.core.node.Input.ServiceAnswer;
import org.bronzehill.core.onceonly.ActExecution.Waiter;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActForward;
import org.bronzehill.protocol.generated.ActStatus;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.ServiceCall;

/**
 * Runs once-only acts at most once. Requests are forwarded to the act's coordinator, which claims
 * the act at a majority of its witnesses before it calls the application service. "Not run" is
 * reported only when every instance to which the request was forwarded has promised not to execute
 * it.
 */
public final class ActManager {

    /** Time without an answer after which a request is forwarded to the next coordinator. */
    private static final Duration FORWARD_TIMEOUT = Duration.ofSeconds(1);

    /** Time reserved before the caller's deadline for the reply to reach the caller. */
    private static final Duration REPLY_MARGIN = Duration.ofMillis(20);

    private final ClusterView peers;
    private final TimeSource time;
    private final ActListener listener;
    private final ClaimCopier copier;
    private final ActWitness witness;
    private final ActExecutor executor;
    private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();

    private ActManager(ClusterView peers, TimeSource time, IdSequence ids, ActListener listener) {
        this.peers = peers;
        this.time = time;
        this.listener = listener;
        ClaimTable claims = new ClaimTable(time);
        this.copier = new ClaimCopier(peers, claims, time);
        this.witness = new ActWitness(peers, claims, copier);
        this.executor = new ActExecutor(peers, witness, time, ids, this::onActEnded);
    }

    /** Creates a manager without claims. */
    public static ActManager create(
            ClusterView peers, TimeSource time, IdSequence ids, ActListener listener) {
        return new ActManager(peers, time, ids, listener);
    }

    /** Accepts a request from a caller of this instance. */
    public void submit(ActRequest request, Effects out) {
        String coordinator = WitnessSets.coordinator(request.scopedKey(), peers.liveInstances());
        if (coordinator.isEmpty() || peers.listVersion() == 0) {
            listener.ended(request.requestId(), ActResult.of(ResultCode.NOT_READY), out);
            return;
        }
        if (peers.runners(request.service()).stream().noneMatch(Upstream::acceptsWork)) {
            listener.ended(request.requestId(), ActResult.of(ResultCode.NO_UPSTREAM), out);
            return;
        }
        PendingRequest pending =
                new PendingRequest(request, time.nanoTime() + request.timeLeft().toNanos());
        pendingRequests.put(request.requestId(), pending);
        forward(pending, coordinator, out);
    }

    private void forward(PendingRequest pending, String coordinator, Effects out) {
        ActRequest request = pending.request;
        pending.forwardedTo.add(coordinator);
        pending.possibleExecutors.add(coordinator);
        pending.forwardedNanos = time.nanoTime();
        pending.currentCoordinator = coordinator;
        if (coordinator.equals(peers.selfId())) {
            executor.submit(
                    withTimeLeft(request, pending.remaining(time)),
                    new Waiter(peers.selfId(), request.requestId()),
                    out);
            return;
        }
        ServiceCall.Builder call =
                ServiceCall.newBuilder()
                        .setRequestId(request.requestId())
                        .setMember(request.team())
                        .setKind(request.kind())
                        .setService(request.service())
                        .setOperation(request.operation())
                        .setBody(request.body())
                        .setContentType(request.contentType())
                        .setDeadlineMs(Math.max(1, pending.remaining(time).toMillis()));
        ActForward.Builder forwardMessage =
                ActForward.newBuilder().setKey(request.key()).setCall(call);
        out.add(
                new Effect.SendPeer(
                        coordinator, Envelope.newBuilder().setActForward(forwardMessage), false));
    }

    private static ActRequest withTimeLeft(ActRequest r, Duration timeLeft) {
        return new ActRequest(
                r.requestId(),
                r.key(),
                r.team(),
                r.kind(),
                r.service(),
                r.operation(),
                r.body(),
                r.contentType(),
                timeLeft);
    }

    /** Handles the messages of the once-only protocol. */
    public void onMessage(Envelope envelope, Effects out) {
        copier.observeListVersion(envelope.getListVersion());
        switch (envelope.getBodyCase()) {
            case ACT_FORWARD -> onForward(envelope, out);
            case ACT_CLAIM -> witness.onClaim(envelope, out);
            case ACT_CLAIM_REPLY -> executor.onClaimReply(envelope, out);
            case ACT_QUERY -> executor.onQuery(envelope, out);
            case ACT_STATUS -> onStatus(envelope, out);
            case ACT_HANDOVER -> copier.onHandover(envelope);
            case ACT_COPY_REQUEST -> copier.onCopyRequest(envelope, out);
            default -> {}
        }
    }

    private void onForward(Envelope envelope, Effects out) {
        ServiceCall call = envelope.getActForward().getCall();
        ActRequest request =
                new ActRequest(
                        call.getRequestId(),
                        envelope.getActForward().getKey(),
                        call.getMember(),
                        call.getKind(),
                        call.getService(),
                        call.getOperation(),
                        call.getBody(),
                        call.getContentType(),
                        Duration.ofMillis(call.getDeadlineMs()));
        executor.submit(request, new Waiter(envelope.getFrom(), call.getRequestId()), out);
    }

    private void onActEnded(Waiter waiter, ActResult result, Effects out) {
        if (waiter.origin().equals(peers.selfId())) {
            onResult(waiter.requestId(), peers.selfId(), result, out);
            return;
        }
        ActAnswer answer = result.answer();
        ActClaimRecord.Builder claim =
                ActClaimRecord.newBuilder()
                        .setHttpStatus(answer.httpStatus())
                        .setContentType(answer.contentType())
                        .setAnswer(answer.body())
                        .setUpstream(answer.upstream());
        ActStatus.Builder status =
                ActStatus.newBuilder()
                        .setRequestId(waiter.requestId())
                        .setResultCode(result.code().number())
                        .setClaim(claim);
        out.add(
                new Effect.SendPeer(
                        waiter.origin(), Envelope.newBuilder().setActStatus(status), false));
    }

    private void onStatus(Envelope envelope, Effects out) {
        ActStatus status = envelope.getActStatus();
        ActClaimRecord claim = status.getClaim();
        if (status.getRequestId().isEmpty()) {
            witness.recordOutcome(claim);
            executor.onExecutorStatus(claim, out);
            return;
        }
        ActAnswer answer =
                new ActAnswer(
                        claim.getHttpStatus(),
                        claim.getContentType(),
                        claim.getAnswer(),
                        claim.getUpstream());
        ActResult result = new ActResult(ResultCode.ofNumber(status.getResultCode()), answer);
        onResult(status.getRequestId(), envelope.getFrom(), result, out);
    }

    private void onResult(String requestId, String coordinator, ActResult result, Effects out) {
        PendingRequest pending = pendingRequests.get(requestId);
        if (pending == null) {
            return;
        }
        if (result.code().runState() == RunState.NOT_RUN) {
            pending.possibleExecutors.remove(coordinator);
            if (!pending.possibleExecutors.isEmpty()) {
                return;
            }
        }
        pendingRequests.remove(requestId);
        listener.ended(requestId, result, out);
    }

    /** Handles the answer to a call or lookup that this component requested. */
    public void onServiceAnswered(long callId, ServiceAnswer answer, Effects out) {
        executor.onServiceAnswered(callId, answer, out);
    }

    /** Handles the failure of a call or lookup that this component requested. */
    public void onServiceFailed(long callId, FailureReason reason, Effects out) {
        executor.onServiceFailed(callId, reason, out);
    }

    /** Forwards requests that wait for an unreachable peer to the next coordinator. */
    public void onUnreachable(String instance, Effects out) {
        for (PendingRequest pending : new ArrayList<>(pendingRequests.values())) {
            if (instance.equals(pending.currentCoordinator)) {
                forwardToNext(pending, out);
            }
        }
    }

    private void forwardToNext(PendingRequest pending, Effects out) {
        List<String> untried = new ArrayList<>(peers.liveInstances());
        untried.removeAll(pending.forwardedTo);
        String next = WitnessSets.coordinator(pending.request.scopedKey(), untried);
        if (!next.isEmpty()) {
            forward(pending, next, out);
        } else {
            pending.forwardedNanos = time.nanoTime();
        }
    }

    /** Sends due messages and retries, and ends requests whose deadline has passed. */
    public void onTick(Effects out) {
        copier.onTick(out);
        witness.claims().expire();
        executor.onTick(out);
        long now = time.nanoTime();
        for (PendingRequest pending : new ArrayList<>(pendingRequests.values())) {
            if (pending.deadlineNanos - REPLY_MARGIN.toNanos() <= now) {
                pendingRequests.remove(pending.request.requestId());
                ResultCode code = ResultCode.ACT_MAY_HAVE_RUN;
                listener.ended(pending.request.requestId(), ActResult.of(code), out);
            } else if (!peers.selfId().equals(pending.currentCoordinator)
                    && now - pending.forwardedNanos >= FORWARD_TIMEOUT.toNanos()) {
                forwardToNext(pending, out);
            }
        }
    }

    /** Sends the claims of this instance to the remaining instances before it leaves. */
    public void handOver(Effects out) {
        copier.handOver(out);
    }

    /** Returns the number of acts and requests of this instance that have not ended. */
    public int inFlight() {
        return executor.inFlight() + pendingRequests.size();
    }

    /** Returns the number of keys with claims retained for the resend window. */
    public int claimCount() {
        return witness.claims().size();
    }

    /** A request of a caller of this instance that has not ended. */
    private static final class PendingRequest {
        private final ActRequest request;
        private final long deadlineNanos;

        /** Coordinators to which the request has been forwarded. */
        private final Set<String> forwardedTo = new HashSet<>();

        /** Those of {@code forwardedTo} that may still execute the act. */
        private final Set<String> possibleExecutors = new HashSet<>();

        private String currentCoordinator = "";
        private long forwardedNanos;

        private PendingRequest(ActRequest request, long deadlineNanos) {
            this.request = request;
            this.deadlineNanos = deadlineNanos;
        }

        private Duration remaining(TimeSource time) {
            return Duration.ofNanos(Math.max(0, deadlineNanos - time.nanoTime()));
        }
    }
}
