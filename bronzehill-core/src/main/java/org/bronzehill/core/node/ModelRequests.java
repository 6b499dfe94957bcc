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

/** The model requests of this instance's own callers, from arrival to answer. */
final class ModelRequests {

    /** A new holder needs about the lease time of 2 s; the pause keeps the search cheap. */
    private static final Duration HOLDER_RETRY = Duration.ofMillis(100);

    /** Lease time, takeover and one renewal; beyond it no holder is expected to appear. */
    private static final Duration MAX_HOLDER_WAIT = Duration.ofSeconds(4);

    /** Progress is reported every 500 ms; twice that may pass without a silent connection. */
    private static final Duration PROGRESS_SLACK = Duration.ofSeconds(1);

    private final Map<String, OpenRequest> open = new LinkedHashMap<>();
    private final CoreContext context;
    private final AccessCheck access;
    private final Router router;
    private final RetryBudget budget;
    private final Dispatcher dispatcher;

    ModelRequests(CoreContext context, AccessCheck access, Router router, Dispatcher dispatcher) {
        this.context = context;
        this.access = access;
        this.router = router;
        this.budget = context.retries();
        this.dispatcher = dispatcher;
    }

    /** Takes a new request, or refuses it as not run. */
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
        budget.onNewRequest();
        OpenRequest added =
                new OpenRequest(request, granted.get(), fingerprint, context.time().nanoTime());
        open.put(request.requestId(), added);
        attempt(added, "", out);
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
        long number = context.configuration().number();
        EngineResult plain = OpenRequest.result(code, request, number, "");
        Duration wait = code == ResultCode.SHED ? context.overload().retryAfter() : Duration.ZERO;
        answer(request, 0, plain, wait, out);
        out.add(new Effect.RecordMetric(CoreMetric.REFUSALS, code.name(), 1));
    }

    private void attempt(OpenRequest r, String preferred, Effects out) {
        if (!context.readiness().mayDispatch()) {
            long now = context.time().nanoTime();
            r.waitForHolder(now, now + HOLDER_RETRY.toNanos());
            return;
        }
        ModelRequest request = r.request();
        RouteQuery query =
                new RouteQuery(
                        request.adapter(),
                        request.kind(),
                        request.prefixHash(),
                        preferred.isEmpty() ? r.tried() : Set.of(),
                        preferred);
        Either<ResultCode, Route> route = router.route(query);
        if (route.isLeft()) {
            ended(r, 0, result(r, route.getLeft(), ""), out);
            return;
        }
        long now = context.time().nanoTime();
        OpenRequest.Attempt attempt = r.begin(route.get(), now);
        router.onAttemptSent(route.get());
        dispatcher.send(r, attempt, !preferred.isEmpty(), r.timeLeft(now), out);
    }

    private EngineResult result(OpenRequest r, ResultCode code, String engine) {
        return OpenRequest.result(code, r.request(), context.configuration().number(), engine);
    }

    /** Takes the end of an attempt; ends of unknown or abandoned attempts are ignored. */
    void onEnd(String requestId, int attempt, EngineResult result, Effects out) {
        OpenRequest r = open.get(requestId);
        OpenRequest.Attempt a = r == null ? null : r.attempts().remove(attempt);
        if (a == null) {
            return;
        }
        router.onAttemptEnded(a.route());
        if (r.relayed() != 0 && r.relayed() != attempt) {
            return;
        }
        ended(r, attempt, result, out);
    }

    private void ended(OpenRequest r, int attempt, EngineResult result, Effects out) {
        r.note(result);
        if (result.code().isSuccess()) {
            finish(r, attempt, result, out);
            return;
        }
        if (!r.attempts().isEmpty()) {
            // The other one of a hedged pair still runs.
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
            attempt(r, result.redirectTo(), out);
        } else if (attempt == 0) {
            waitOrFinish(r, attempt, result, out);
        } else if (RetryRules.costsNothing(result.code())) {
            // Nothing was given to an engine; the engines already tried are passed over.
            attempt(r, "", out);
        } else if (r.counted() < context.settings().maxAttempts() && budget.tryTake()) {
            out.add(new Effect.RecordMetric(CoreMetric.RETRIES, result.code().name(), 1));
            r.count();
            attempt(r, "", out);
        } else {
            finish(r, attempt, result, out);
        }
    }

    /** No engine is left to try; a new holder may appear for one of them. */
    private void waitOrFinish(OpenRequest r, int attempt, EngineResult result, Effects out) {
        long now = context.time().nanoTime();
        if (r.waitedForHolder(now) > MAX_HOLDER_WAIT.toNanos()) {
            finish(r, attempt, result, out);
            return;
        }
        r.tried().clear();
        r.waitForHolder(now, now + HOLDER_RETRY.toNanos());
    }

    private void finish(OpenRequest r, int attempt, EngineResult result, Effects out) {
        open.remove(r.id());
        for (OpenRequest.Attempt other : r.attempts().values()) {
            cancel(r, other, out);
        }
        int answered = r.relayed() != 0 ? r.relayed() : attempt;
        EngineResult told = r.truthful(result);
        answer(r.request(), answered, told, told.retryAfter(), out);
    }

    private void cancel(OpenRequest r, OpenRequest.Attempt attempt, Effects out) {
        router.onAttemptEnded(attempt.route());
        out.add(new Effect.AbandonAttempt(r.id(), attempt.number()));
        dispatcher.cancel(r.id(), attempt, out);
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

    /** Notes that chunks of an attempt have reached the caller. */
    void onProgress(String requestId, int attempt, Effects out) {
        OpenRequest r = open.get(requestId);
        if (r == null) {
            return;
        }
        if (!r.request().stream() && !r.attempts().containsKey(attempt)) {
            // The collected chunks of an ended attempt are dropped when it is abandoned.
            return;
        }
        r.progress(attempt, context.time().nanoTime());
        for (OpenRequest.Attempt other : List.copyOf(r.attempts().values())) {
            if (other.number() != attempt) {
                r.attempts().remove(other.number());
                cancel(r, other, out);
            }
        }
        if (!r.attempts().containsKey(attempt)) {
            // The attempt had been given up before its first chunk was relayed.
            finish(r, attempt, result(r, ResultCode.TRUNCATED, ""), out);
        }
    }

    /** Ends a request whose caller has closed its connection. */
    void onCallerGone(String requestId, Effects out) {
        OpenRequest r = open.get(requestId);
        if (r != null) {
            finish(r, r.made(), result(r, ResultCode.CANCELLED, ""), out);
        }
    }

    /** Fails the attempts at an instance to which the connection broke. */
    void onUnreachable(String instance, Effects out) {
        for (OpenRequest r : List.copyOf(open.values())) {
            for (OpenRequest.Attempt a : List.copyOf(r.attempts().values())) {
                if (a.route().holder().equals(instance) && r.relayed() == 0) {
                    fail(r, a, ResultCode.UPSTREAM_FAILED, out);
                }
            }
        }
    }

    private void fail(OpenRequest r, OpenRequest.Attempt a, ResultCode code, Effects out) {
        r.attempts().remove(a.number());
        cancel(r, a, out);
        ended(r, a.number(), result(r, code, a.route().engine()), out);
    }

    /** Enforces deadlines and silence, repeats requests that wait for a holder, and hedges. */
    void onTick(Effects out) {
        long now = context.time().nanoTime();
        for (OpenRequest r : List.copyOf(open.values())) {
            if (r.timeLeft(now).isNegative() || r.timeLeft(now).isZero()) {
                expire(r, out);
            } else if (r.relayed() != 0 && isSilent(r, now)) {
                out.add(new Effect.RecordMetric(CoreMetric.SILENT_CONNECTIONS, "answer", 1));
                finish(r, r.relayed(), result(r, ResultCode.SILENT_CONNECTION, ""), out);
            } else if (r.isDue(now) && context.readiness().mayDispatch()) {
                r.waitForHolder(now, now + HOLDER_RETRY.toNanos());
                attempt(r, "", out);
            } else {
                checkHolders(r, out);
                hedge(r, now, out);
            }
        }
    }

    private void expire(OpenRequest r, Effects out) {
        boolean started = !r.attempts().isEmpty();
        ResultCode code = started ? ResultCode.DEADLINE_PASSED : ResultCode.DEADLINE_HOPELESS;
        finish(r, r.made(), result(r, code, ""), out);
    }

    private static boolean isSilent(OpenRequest r, long now) {
        return now - r.progressNanos() > r.kind().silence().plus(PROGRESS_SLACK).toNanos();
    }

    /** An attempt at a holder that is dead will never end by itself. */
    private void checkHolders(OpenRequest r, Effects out) {
        for (OpenRequest.Attempt a : List.copyOf(r.attempts().values())) {
            if (r.relayed() == 0 && dispatcher.isGone(a)) {
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
                        && r.relayed() == 0
                        && r.attempts().size() == 1
                        && r.counted() < context.settings().maxAttempts();
        if (!eligible || !context.readiness().mayDispatch()) {
            return;
        }
        OpenRequest.Attempt first = r.attempts().values().iterator().next();
        long patience = after + first.route().expectedStall().toNanos();
        if (now - first.sentNanos() < patience) {
            return;
        }
        r.markHedged();
        ModelRequest q = r.request();
        Either<ResultCode, Route> other =
                router.route(RouteQuery.forHedge(q.adapter(), q.kind(), q.prefixHash(), r.tried()));
        if (other.isRight() && budget.tryTake()) {
            out.add(new Effect.RecordMetric(CoreMetric.HEDGES, q.kind(), 1));
            r.count();
            OpenRequest.Attempt second = r.begin(other.get(), now);
            router.onAttemptSent(other.get());
            dispatcher.send(r, second, true, r.timeLeft(now), out);
        }
    }

    int size() {
        return open.size();
    }
}
