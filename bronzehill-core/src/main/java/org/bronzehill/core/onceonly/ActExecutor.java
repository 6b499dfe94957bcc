package org.bronzehill.core.onceonly;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.IdSequence;
import org.bronzehill.core.node.Input.ServiceAnswer;
import org.bronzehill.core.onceonly.ActExecution.Phase;
import org.bronzehill.core.onceonly.ActExecution.Waiter;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActClaimReply;
import org.bronzehill.protocol.generated.ActQuery;
import org.bronzehill.protocol.generated.ActState;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Executes the acts for which this instance is the coordinator, in the steps claim, lookup and
 * call. The claims that a coordinator sends to the witnesses name it as the executor. An attempt
 * calls the runner only after a majority of the witnesses has accepted exactly this attempt of this
 * incarnation. An attempt that has been reported as abandoned is never executed later.
 */
final class ActExecutor {

    /** Receives the result of the act for each request that waits for it. */
    @FunctionalInterface
    interface ResultListener {
        void ended(Waiter waiter, ActResult result, Effects out);
    }

    /**
     * Longer than witnesses retain claims, so that an executor can report on each of its claims.
     */
    private static final Duration RETENTION = ClaimTable.RETENTION.plusMinutes(1);

    private static final Duration RESEND_INTERVAL = Duration.ofMillis(150);

    /**
     * Time reserved at the end of a caller's budget for sending the result to the caller. It
     * exceeds the margin in {@link ActManager}, so that the result can reach the instance that
     * forwarded the request before that instance ends the request.
     */
    private static final Duration REPLY_MARGIN = Duration.ofMillis(50);

    private final ClusterView peers;
    private final ClaimSender claims;
    private final TimeSource time;
    private final RunnerCalls calls;
    private final ResultListener listener;
    private final Map<String, ActExecution> executions = new LinkedHashMap<>();
    private final Set<ActExecution> active = new LinkedHashSet<>();

    ActExecutor(
            ClusterView peers,
            ActWitness witness,
            TimeSource time,
            IdSequence ids,
            ResultListener listener) {
        this.peers = peers;
        this.claims = new ClaimSender(peers, witness);
        this.time = time;
        this.calls = new RunnerCalls(peers, ids);
        this.listener = listener;
    }

    void submit(ActRequest request, Waiter waiter, Effects out) {
        ActExecution act = executions.get(request.scopedKey());
        if (act == null) {
            if (executions.size() >= ClaimTable.MAX_CLAIMS) {
                listener.ended(waiter, ActResult.of(ResultCode.TABLE_FULL), out);
                return;
            }
            act = new ActExecution(request);
            executions.put(act.key(), act);
            act.waiters().add(waiter);
            claim(act, request, out);
            return;
        }
        if (!act.digest().equals(request.digest())) {
            listener.ended(waiter, ActResult.of(ResultCode.KEY_REUSED), out);
            return;
        }
        if (act.phase == Phase.DONE) {
            listener.ended(waiter, result(act, false), out);
            return;
        }
        act.waiters().add(waiter);
        if (act.phase == Phase.ABANDONED) {
            claim(act, request, out);
        } else if (act.phase == Phase.MAY_HAVE_RUN) {
            act.startedNanos = time.nanoTime();
            act.expiryNanos = expiry(request);
            resolve(act, out);
        }
    }

    private void claim(ActExecution act, ActRequest request, Effects out) {
        act.begin(request, time.nanoTime(), expiry(request));
        active.add(act);
        out.add(new Effect.RecordMetric(CoreMetric.ACTS_CLAIMED, request.kind(), 1));
        sendClaims(act, out);
    }

    private long expiry(ActRequest request) {
        Duration budget = request.timeLeft().minus(REPLY_MARGIN);
        Duration bound = ClaimCopier.MAX_ATTEMPT_DURATION;
        return time.nanoTime() + (budget.compareTo(bound) < 0 ? budget : bound).toNanos();
    }

    private void sendClaims(ActExecution act, Effects out) {
        act.nextSendNanos = time.nanoTime() + RESEND_INTERVAL.toNanos();
        for (ActClaimReply reply : claims.send(act, out)) {
            onReply(act, reply, peers.selfId());
        }
        checkMajority(act, out);
    }

    void onClaimReply(Envelope envelope, Effects out) {
        ActClaimReply reply = envelope.getActClaimReply();
        ActExecution act = executions.get(reply.getKey());
        if (act == null
                || act.phase != Phase.CLAIMING
                || act.attempt != reply.getAttempt()
                || envelope.getListVersion() != act.claimListVersion) {
            return;
        }
        onReply(act, reply, envelope.getFrom());
        checkMajority(act, out);
    }

    private static void onReply(ActExecution act, ActClaimReply reply, String witness) {
        if (reply.getAccepted()) {
            act.accepted().add(witness);
        } else if (reply.hasStanding()) {
            act.conflictingClaim = reply.getStanding();
        }
    }

    private void checkMajority(ActExecution act, Effects out) {
        if (act.phase != Phase.CLAIMING) {
            return;
        }
        if (act.conflictingClaim != null
                && act.conflictingClaim.getState() == ActState.ACT_STATE_DONE) {
            finishFromClaim(act, act.conflictingClaim, out);
        } else if (claims.hasMajority(act)) {
            act.phase = Phase.CHECKING;
            lookUp(act, out);
        }
    }

    private void finishFromClaim(ActExecution act, ActClaimRecord claim, Effects out) {
        if (!claim.getDigest().equals(act.digest())) {
            end(act, Phase.ABANDONED, ResultCode.KEY_REUSED, out);
        } else if (claim.getHttpStatus() == 0) {
            resolve(act, out);
        } else {
            act.answerFromRecord = true;
            act.answer =
                    new ActAnswer(
                            claim.getHttpStatus(),
                            claim.getContentType(),
                            claim.getAnswer(),
                            claim.getUpstream());
            end(act, Phase.DONE, ResultCode.RECORDED_ANSWER, out);
        }
    }

    private void resolve(ActExecution act, Effects out) {
        act.phase = Phase.RESOLVING;
        active.add(act);
        lookUp(act, out);
    }

    private void lookUp(ActExecution act, Effects out) {
        act.nextSendNanos = time.nanoTime() + RunnerCalls.LOOKUP_TIMEOUT.toNanos();
        if (!calls.lookUp(act, out)) {
            onNoRecordFound(act, out);
        }
    }

    void onServiceAnswered(long callId, ServiceAnswer answer, Effects out) {
        ActExecution act = calls.take(callId);
        if (act == null || act.phase == Phase.DONE) {
            return;
        }
        String lookedUpAt = act.lookups().remove(callId);
        if (lookedUpAt == null) {
            onCallAnswered(act, callId, answer, out);
        } else if (answer.httpStatus() == 200) {
            act.answerFromRecord = true;
            act.answer = ClaimSender.toActAnswer(answer, lookedUpAt);
            end(act, Phase.DONE, ResultCode.RECORDED_ANSWER, out);
        } else if (act.lookups().isEmpty()) {
            onNoRecordFound(act, out);
        }
    }

    private void onCallAnswered(ActExecution act, long callId, ServiceAnswer answer, Effects out) {
        if (callId != act.callId) {
            return;
        }
        if (answer.httpStatus() >= 500) {
            resolve(act, out);
        } else {
            act.answer = ClaimSender.toActAnswer(answer, act.runner);
            end(act, Phase.DONE, ResultCode.OK, out);
        }
    }

    void onServiceFailed(long callId, FailureReason reason, Effects out) {
        ActExecution act = calls.take(callId);
        if (act == null || act.phase == Phase.DONE) {
            return;
        }
        if (act.lookups().remove(callId) != null) {
            if (act.lookups().isEmpty()) {
                onNoRecordFound(act, out);
            }
        } else if (callId == act.callId && act.phase == Phase.RUNNING) {
            if (!reason.provesNotRun()) {
                resolve(act, out);
            } else {
                act.callStarted = false;
                end(act, Phase.ABANDONED, ResultCode.NO_UPSTREAM, out);
            }
        }
    }

    private void onNoRecordFound(ActExecution act, Effects out) {
        if (act.phase == Phase.CHECKING) {
            call(act, out);
        }
        // While resolving, the call may still be in progress, so a later tick repeats the lookup.
    }

    private void call(ActExecution act, Effects out) {
        long remaining = act.expiryNanos - time.nanoTime();
        if (remaining <= 0) {
            end(act, Phase.ABANDONED, ResultCode.DEADLINE_HOPELESS, out);
        } else if (calls.call(act, Duration.ofNanos(remaining), out)) {
            act.phase = Phase.RUNNING;
        } else {
            end(act, Phase.ABANDONED, ResultCode.NO_UPSTREAM, out);
        }
    }

    private void queryExecutor(ActExecution act, Effects out) {
        ActClaimRecord conflictingClaim = act.conflictingClaim;
        act.phase = Phase.QUERYING;
        act.nextSendNanos = time.nanoTime() + RESEND_INTERVAL.toNanos();
        boolean canQueryExecutor =
                peers.liveIncarnation(conflictingClaim.getExecutor())
                                == conflictingClaim.getExecutorIncarnation()
                        && !conflictingClaim.getExecutor().equals(peers.selfId());
        if (canQueryExecutor) {
            Envelope.Builder query = ActStatusMessages.query(conflictingClaim);
            out.add(new Effect.SendPeer(conflictingClaim.getExecutor(), query, false));
        } else {
            resolve(act, out);
        }
    }

    void onQuery(Envelope envelope, Effects out) {
        ActQuery query = envelope.getActQuery();
        Envelope.Builder answer =
                ActStatusMessages.reply(query, executions.get(query.getKey()), peers);
        out.add(new Effect.SendPeer(envelope.getFrom(), answer, false));
    }

    /** Handles the state that the executor of a conflicting claim reports in reply to a query. */
    void onExecutorStatus(ActClaimRecord status, Effects out) {
        ActExecution act = executions.get(status.getKey());
        if (act == null
                || act.phase != Phase.QUERYING
                || status.getAttempt() != act.conflictingClaim.getAttempt()
                || !status.getExecutor().equals(act.conflictingClaim.getExecutor())) {
            return;
        }
        switch (status.getState()) {
            case ACT_STATE_DONE -> finishFromClaim(act, status, out);
            case ACT_STATE_ABANDONED -> {
                act.replacedClaim = act.conflictingClaim;
                long expiry = act.expiryNanos;
                act.begin(act.request(), time.nanoTime(), expiry);
                sendClaims(act, out);
            }
            case ACT_STATE_CLAIMING, ACT_STATE_RUNNING -> {}
            default -> resolve(act, out);
        }
    }

    void onTick(Effects out) {
        long now = time.nanoTime();
        for (ActExecution act : new ArrayList<>(active)) {
            if (now >= act.expiryNanos) {
                expire(act, out);
            } else if (now >= act.nextSendNanos) {
                proceed(act, out);
            }
        }
        Iterator<ActExecution> oldest = executions.values().iterator();
        while (oldest.hasNext()) {
            ActExecution act = oldest.next();
            boolean retentionPassed = now - act.startedNanos >= RETENTION.toNanos();
            if (!retentionPassed) {
                break;
            }
            if (act.phase.isEnded()) {
                calls.discardCall(act);
                oldest.remove();
            }
        }
    }

    private void proceed(ActExecution act, Effects out) {
        switch (act.phase) {
            case CLAIMING -> {
                if (act.conflictingClaim != null) {
                    queryExecutor(act, out);
                } else {
                    sendClaims(act, out);
                }
            }
            case QUERYING -> queryExecutor(act, out);
            case CHECKING -> call(act, out);
            case RESOLVING -> lookUp(act, out);
            default -> {}
        }
    }

    private void expire(ActExecution act, Effects out) {
        switch (act.phase) {
            case CLAIMING -> end(act, Phase.ABANDONED, ResultCode.NO_WITNESSES, out);
            case CHECKING -> end(act, Phase.ABANDONED, ResultCode.DEADLINE_HOPELESS, out);
            case RUNNING -> {
                if (time.nanoTime() >= act.expiryNanos + RunnerCalls.LOOKUP_TIMEOUT.toNanos()) {
                    end(act, Phase.MAY_HAVE_RUN, ResultCode.ACT_MAY_HAVE_RUN, out);
                }
            }
            default -> end(act, Phase.MAY_HAVE_RUN, ResultCode.ACT_MAY_HAVE_RUN, out);
        }
    }

    private void end(ActExecution act, Phase phase, ResultCode code, Effects out) {
        act.phase = phase;
        active.remove(act);
        calls.discardLookups(act);
        claims.sendOutcome(act, out);
        List<Waiter> waiters = List.copyOf(act.waiters());
        act.waiters().clear();
        boolean first = true;
        for (Waiter w : waiters) {
            ActResult result = phase == Phase.DONE ? result(act, first) : ActResult.of(code);
            CoreMetric metric =
                    code == ResultCode.ACT_MAY_HAVE_RUN ? CoreMetric.ACTS_MAY_HAVE_RUN : null;
            if (metric != null) {
                out.add(new Effect.RecordMetric(metric, act.request().kind(), 1));
            }
            listener.ended(w, result, out);
            first = false;
        }
    }

    private static void measure(ActExecution act, ActResult result, Effects out) {
        String kind = act.request().kind();
        if (result.code() == ResultCode.ACT_MAY_HAVE_RUN) {
            out.add(new Effect.RecordMetric(CoreMetric.ACTS_MAY_HAVE_RUN, kind, 1));
        } else if (result.code() == ResultCode.RECORDED_ANSWER) {
            out.add(new Effect.RecordMetric(CoreMetric.ACTS_RECORDED_ANSWERS, kind, 1));
        }
    }

    private static ActResult result(ActExecution act, boolean first) {
        ResultCode code;
        if (act.answer.httpStatus() >= 400) {
            code = ResultCode.UPSTREAM_REJECTED;
        } else {
            code = first && !act.answerFromRecord ? ResultCode.OK : ResultCode.RECORDED_ANSWER;
        }
        return new ActResult(code, act.answer);
    }

    /** Returns the number of acts that have not ended. */
    int inFlight() {
        return active.size();
    }
}
