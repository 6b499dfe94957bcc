package org.bronzehill.core.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.admission.RetryBudget;
import org.bronzehill.core.engine.EngineResult;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.placement.Route;
import org.bronzehill.core.placement.RouteQuery;
import org.bronzehill.core.placement.Router;
import org.bronzehill.core.result.ResultCode;

/** Handles the model requests of this instance's callers, from arrival to answer. */
final class ModelRequests {

    /**
     * A new holder appears after about the lease duration of 2 s; the interval limits the cost of
     * the routing attempts until then.
     */
    private static final Duration HOLDER_RETRY_INTERVAL = Duration.ofMillis(100);

    /**
     * Covers the lease duration, a takeover and one renewal, after which no new holder is likely.
     */
    private static final Duration MAX_HOLDER_WAIT = Duration.ofSeconds(4);

    /** Progress is reported every 500 ms; twice that interval may pass on a working connection. */
    private static final Duration PROGRESS_REPORT_SLACK = Duration.ofSeconds(1);

    private final Map<String, OpenRequest> open = new LinkedHashMap<>();
    private final CoreContext context;
    private final AccessCheck access;
    private final Router router;
    private final RetryBudget retryBudget;
    private final AttemptSender attemptSender;

    ModelRequests(
            CoreContext context, AccessCheck access, Router router, AttemptSender attemptSender) {
        this.context = context;
        this.access = access;
        this.router = router;
        this.retryBudget = context.retryBudget();
        this.attemptSender = attemptSender;
    }

    /** Starts the first attempt of a new request, or refuses the request as not run. */
    void onRequest(ModelRequest request, Effects out) {
        Either<ResultCode, AccessCheck.Granted> granted = access.check(request);
        if (granted.isLeft()) {
            refuse(request, granted.getLeft(), out);
            return;
        }
        byte[] fingerprint =
                AccessCheck.fingerprint(request.kind(), request.adapter(), request.body());
        ResultCode refusal = refusal(request, granted.get(), fingerprint);
        if (refusal != null) {
            refuse(request, refusal, out);
            return;
        }
        retryBudget.onNewRequest();
        OpenRequest added =
                new OpenRequest(request, granted.get(), fingerprint, context.time().nanoTime());
        open.put(request.requestId(), added);
        startAttempt(added, "", out);
    }

    private ResultCode refusal(
            ModelRequest request, AccessCheck.Granted granted, byte[] fingerprint) {
        if (open.containsKey(request.requestId())) {
            return ResultCode.MALFORMED_REQUEST;
        }
        if (open.size() >= context.configuration().limits().openRequests()) {
            return ResultCode.TABLE_FULL;
        }
        if (context.overload().sheds(granted.kind().urgency())) {
            return ResultCode.SHED;
        }
        return context.crashes().refuses(fingerprint) ? ResultCode.CRASHES_UPSTREAMS : null;
    }

    private void refuse(ModelRequest request, ResultCode code, Effects out) {
        long configurationNumber = context.configuration().number();
        EngineResult refusal = OpenRequest.result(code, request, configurationNumber, "");
        Duration wait = code == ResultCode.SHED ? context.overload().retryAfter() : Duration.ZERO;
        answer(request, 0, refusal, wait, out);
        out.add(new Effect.RecordMetric(CoreMetric.REFUSALS, code.name(), 1));
    }

    /**
     * Routes the request and sends an attempt.
     *
     * @param redirectTo engine that a redirect names; empty if there is none
     */
    private void startAttempt(OpenRequest r, String redirectTo, Effects out) {
        if (!context.readiness().mayDispatch()) {
            long now = context.time().nanoTime();
            r.scheduleRetry(now, now + HOLDER_RETRY_INTERVAL.toNanos());
            return;
        }
        ModelRequest request = r.request();
        RouteQuery query =
                new RouteQuery(
                        request.adapter(),
                        request.kind(),
                        request.prefixHash(),
                        redirectTo.isEmpty() ? r.triedEngines() : Set.of(),
                        redirectTo);
        Either<ResultCode, Route> route = router.route(query);
        if (route.isLeft()) {
            handleResult(r, 0, result(r, route.getLeft(), ""), out);
            return;
        }
        long now = context.time().nanoTime();
        OpenRequest.Attempt attempt = r.addAttempt(route.get(), now);
        router.onAttemptSent(route.get());
        attemptSender.send(r, attempt, !redirectTo.isEmpty(), r.timeLeft(now), out);
    }

    private EngineResult result(OpenRequest r, ResultCode code, String engine) {
        return OpenRequest.result(code, r.request(), context.configuration().number(), engine);
    }

    /** Handles the result of an attempt; results of unknown or abandoned attempts are ignored. */
    void onEnd(String requestId, int attempt, EngineResult result, Effects out) {
        OpenRequest r = open.get(requestId);
        OpenRequest.Attempt a = r == null ? null : r.attempts().remove(attempt);
        if (a == null) {
            return;
        }
        router.onAttemptEnded(a.route());
        if (r.relayedAttempt() != 0 && r.relayedAttempt() != attempt) {
            return;
        }
        handleResult(r, attempt, result, out);
    }

    /**
     * Ends or retries the request after a result.
     *
     * @param attempt number of the attempt; 0 if routing found no engine and no attempt was made
     */
    private void handleResult(OpenRequest r, int attempt, EngineResult result, Effects out) {
        r.recordResult(result);
        if (result.code().isSuccess()) {
            finish(r, attempt, result, out);
            return;
        }
        if (!r.attempts().isEmpty()) {
            // The other attempt of a hedged pair is still running.
            out.add(new Effect.AbandonAttempt(r.id(), attempt));
            return;
        }
        if (RetryRules.mayRetry(result.code(), r.kind().repeatable(), r.delivered())) {
            r.restartAnswer();
            retry(r, attempt, result, out);
        } else {
            finish(r, attempt, result, out);
        }
    }

    private void retry(OpenRequest r, int attempt, EngineResult result, Effects out) {
        if (attempt != 0) {
            out.add(new Effect.AbandonAttempt(r.id(), attempt));
        }
        if (result.code() == ResultCode.REDIRECT && !result.redirectTo().isEmpty()) {
            startAttempt(r, result.redirectTo(), out);
        } else if (attempt == 0) {
            waitOrFinish(r, attempt, result, out);
        } else if (RetryRules.reachedNoEngine(result.code())) {
            // No engine received the request, so the retry needs no budget and tries other engines.
            startAttempt(r, "", out);
        } else if (r.countedAttempts() < context.settings().maxAttempts()
                && retryBudget.tryTake()) {
            out.add(new Effect.RecordMetric(CoreMetric.RETRIES, result.code().name(), 1));
            r.countAttempt();
            startAttempt(r, "", out);
        } else {
            finish(r, attempt, result, out);
        }
    }

    /** Waits for a new holder after all engines were tried, or ends the request. */
    private void waitOrFinish(OpenRequest r, int attempt, EngineResult result, Effects out) {
        long now = context.time().nanoTime();
        if (r.holderWaitNanos(now) > MAX_HOLDER_WAIT.toNanos()) {
            finish(r, attempt, result, out);
            return;
        }
        r.triedEngines().clear();
        r.scheduleRetry(now, now + HOLDER_RETRY_INTERVAL.toNanos());
    }

    private void finish(OpenRequest r, int attempt, EngineResult result, Effects out) {
        open.remove(r.id());
        for (OpenRequest.Attempt other : r.attempts().values()) {
            cancel(r, other, out);
        }
        int answeringAttempt = r.relayedAttempt() != 0 ? r.relayedAttempt() : attempt;
        EngineResult reported = r.resultForCaller(result);
        answer(r.request(), answeringAttempt, reported, reported.retryAfter(), out);
    }

    private void cancel(OpenRequest r, OpenRequest.Attempt attempt, Effects out) {
        router.onAttemptEnded(attempt.route());
        out.add(new Effect.AbandonAttempt(r.id(), attempt.number()));
        attemptSender.cancel(r.id(), attempt, out);
    }

    private void answer(
            ModelRequest request,
            int attempt,
            EngineResult result,
            Duration retryAfter,
            Effects out) {
        ResultCode code =
                result.code() == ResultCode.REDIRECT ? ResultCode.NO_UPSTREAM : result.code();
        out.add(
                new Effect.Answer(
                        request.requestId(),
                        attempt,
                        code,
                        new Provenance(
                                result.adapter(),
                                result.version(),
                                result.configurationNumber(),
                                result.upstream(),
                                context.settings().self().id()),
                        result.chunks(),
                        null,
                        retryAfter,
                        result.loadStall(),
                        ""));
    }

    /** Records that chunks of an attempt were relayed, and cancels the other attempts. */
    void onProgress(String requestId, int attempt, Effects out) {
        OpenRequest r = open.get(requestId);
        if (r == null) {
            return;
        }
        if (!r.request().stream() && !r.attempts().containsKey(attempt)) {
            // The chunks of a non-streamed answer are discarded when its attempt is abandoned.
            return;
        }
        r.recordProgress(attempt, context.time().nanoTime());
        for (OpenRequest.Attempt other : List.copyOf(r.attempts().values())) {
            if (other.number() != attempt) {
                r.attempts().remove(other.number());
                cancel(r, other, out);
            }
        }
        if (!r.attempts().containsKey(attempt)) {
            // The attempt was abandoned before this report of its first relayed chunk arrived.
            finish(r, attempt, result(r, ResultCode.TRUNCATED, ""), out);
        }
    }

    /** Cancels the request of a caller that closed its connection. */
    void onCallerDisconnected(String requestId, Effects out) {
        OpenRequest r = open.get(requestId);
        if (r != null) {
            finish(r, r.lastAttemptNumber(), result(r, ResultCode.CANCELLED, ""), out);
        }
    }

    /**
     * Fails the attempts at an instance that cannot be reached, except those of requests of which
     * chunks have been relayed.
     */
    void onPeerUnreachable(String instance, Effects out) {
        for (OpenRequest r : List.copyOf(open.values())) {
            for (OpenRequest.Attempt a : List.copyOf(r.attempts().values())) {
                if (a.route().holder().equals(instance) && r.relayedAttempt() == 0) {
                    fail(r, a, ResultCode.UPSTREAM_FAILED, out);
                }
            }
        }
    }

    private void fail(OpenRequest r, OpenRequest.Attempt a, ResultCode code, Effects out) {
        r.attempts().remove(a.number());
        cancel(r, a, out);
        handleResult(r, a.number(), result(r, code, a.route().engine()), out);
    }

    /** Enforces deadlines and idle timeouts, retries requests without a holder, and hedges. */
    void onTick(Effects out) {
        long now = context.time().nanoTime();
        for (OpenRequest r : List.copyOf(open.values())) {
            if (r.timeLeft(now).isNegative() || r.timeLeft(now).isZero()) {
                expire(r, out);
            } else if (r.relayedAttempt() != 0 && isSilent(r, now)) {
                out.add(new Effect.RecordMetric(CoreMetric.SILENT_CONNECTIONS, "answer", 1));
                finish(r, r.relayedAttempt(), result(r, ResultCode.SILENT_CONNECTION, ""), out);
            } else if (r.isRetryDue(now) && context.readiness().mayDispatch()) {
                r.scheduleRetry(now, now + HOLDER_RETRY_INTERVAL.toNanos());
                startAttempt(r, "", out);
            } else {
                failAttemptsAtDeadHolders(r, out);
                hedge(r, now, out);
            }
        }
    }

    private void expire(OpenRequest r, Effects out) {
        boolean started = !r.attempts().isEmpty();
        ResultCode code = started ? ResultCode.DEADLINE_PASSED : ResultCode.DEADLINE_HOPELESS;
        finish(r, r.lastAttemptNumber(), result(r, code, ""), out);
    }

    private static boolean isSilent(OpenRequest r, long now) {
        return now - r.lastProgressNanos()
                > r.kind().silence().plus(PROGRESS_REPORT_SLACK).toNanos();
    }

    /**
     * Fails the attempts at dead holders, which will never send a result, unless chunks of the
     * request have been relayed.
     */
    private void failAttemptsAtDeadHolders(OpenRequest r, Effects out) {
        for (OpenRequest.Attempt a : List.copyOf(r.attempts().values())) {
            if (r.relayedAttempt() == 0 && attemptSender.isHolderDead(a)) {
                fail(r, a, ResultCode.UPSTREAM_FAILED, out);
            }
        }
    }

    private void hedge(OpenRequest r, long now, Effects out) {
        long after = context.settings().hedgeAfter().toNanos();
        boolean eligible =
                after > 0
                        && r.kind().repeatable()
                        && r.kind().urgency() == Urgency.INTERACTIVE
                        && !r.hedged()
                        && r.relayedAttempt() == 0
                        && r.attempts().size() == 1
                        && r.countedAttempts() < context.settings().maxAttempts();
        if (!eligible || !context.readiness().mayDispatch()) {
            return;
        }
        OpenRequest.Attempt first = r.attempts().values().iterator().next();
        long hedgeDelay = after + first.route().expectedStall().toNanos();
        if (now - first.sentNanos() < hedgeDelay) {
            return;
        }
        r.markHedged();
        ModelRequest q = r.request();
        Either<ResultCode, Route> other =
                router.route(
                        RouteQuery.forHedge(
                                q.adapter(), q.kind(), q.prefixHash(), r.triedEngines()));
        if (other.isRight() && retryBudget.tryTake()) {
            out.add(new Effect.RecordMetric(CoreMetric.HEDGES, q.kind(), 1));
            r.countAttempt();
            OpenRequest.Attempt second = r.addAttempt(other.get(), now);
            router.onAttemptSent(other.get());
            attemptSender.send(r, second, true, r.timeLeft(now), out);
        }
    }

    int size() {
        return open.size();
    }
}
