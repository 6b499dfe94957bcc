package org.bronzehill.core.node;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.model.ServiceRequest;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.onceonly.ActAnswer;
import org.bronzehill.core.onceonly.ActManager;
import org.bronzehill.core.onceonly.ActRequest;
import org.bronzehill.core.onceonly.ActResult;
import org.bronzehill.core.onceonly.ClusterView;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/** Handles the calls of this instance's callers to application services. */
final class ServiceRequests {

    private final Map<String, OpenCall> openCalls = new LinkedHashMap<>();
    private final Map<Long, String> requestIdByCall = new HashMap<>();
    private final CoreContext context;
    private final AccessCheck access;
    private final ClusterView clusterView;
    private ActManager acts;

    ServiceRequests(CoreContext context, AccessCheck access, ClusterView clusterView) {
        this.context = context;
        this.access = access;
        this.clusterView = clusterView;
    }

    /**
     * Sets the manager of once-only acts: calls with an idempotency key that must run at most
     * once, also when the caller sends them again.
     */
    void bind(ActManager manager) {
        acts = manager;
    }

    private static final class OpenCall {
        final ServiceRequest request;
        final AccessCheck.Granted granted;
        final long deadlineNanos;
        final Set<String> tried = new HashSet<>();
        String upstream = "";
        long callId;
        int attempts;
        boolean mayHaveRun;

        OpenCall(ServiceRequest request, AccessCheck.Granted granted, long now) {
            this.request = request;
            this.granted = granted;
            this.deadlineNanos = now + granted.deadline().toNanos();
        }
    }

    void onRequest(ServiceRequest request, Effects out) {
        Either<ResultCode, AccessCheck.Granted> granted = access.check(request);
        ResultCode refusal = granted.isLeft() ? granted.getLeft() : refusal(request, granted.get());
        if (refusal != null) {
            out.add(new Effect.RecordMetric(CoreMetric.REFUSALS, refusal.name(), 1));
            answer(request.requestId(), refusal, "", null, out);
            return;
        }
        context.retryBudget().onNewRequest();
        OpenCall added = new OpenCall(request, granted.get(), context.time().nanoTime());
        openCalls.put(request.requestId(), added);
        if (granted.get().kind().onceOnly()) {
            acts.submit(actRequest(request, granted.get()), out);
        } else {
            call(added, out);
        }
    }

    private ResultCode refusal(ServiceRequest request, AccessCheck.Granted granted) {
        if (openCalls.containsKey(request.requestId())) {
            return ResultCode.MALFORMED_REQUEST;
        }
        if (openCalls.size() >= context.configuration().limits().openRequests()) {
            return ResultCode.TABLE_FULL;
        }
        if (context.overload().sheds(granted.kind().urgency())) {
            return ResultCode.SHED;
        }
        boolean offered =
                context.membership().list().upstreams().stream()
                        .anyMatch(u -> u.services().contains(request.service()));
        return offered ? null : ResultCode.UNKNOWN_SERVICE;
    }

    private static ActRequest actRequest(ServiceRequest request, AccessCheck.Granted granted) {
        return new ActRequest(
                request.requestId(),
                request.key(),
                granted.caller().team().name(),
                request.kind(),
                request.service(),
                request.operation(),
                ByteString.copyFrom(request.body()),
                request.contentType(),
                granted.deadline());
    }

    /** Answers the caller with the result of a once-only act. */
    void onActResult(String requestId, ActResult result, Effects out) {
        if (openCalls.remove(requestId) == null) {
            return;
        }
        ActAnswer answer = result.answer();
        Input.ServiceAnswer body =
                result.code().isSuccess()
                        ? new Input.ServiceAnswer(
                                answer.httpStatus(),
                                answer.contentType(),
                                answer.body().toByteArray(),
                                Map.of())
                        : null;
        answer(requestId, result.code(), answer.upstream(), body, out);
    }

    private void call(OpenCall o, Effects out) {
        Upstream runner = chooseRunner(o);
        if (runner == null) {
            finish(o, ResultCode.NO_UPSTREAM, null, out);
            return;
        }
        ServiceRequest q = o.request;
        o.attempts++;
        o.tried.add(runner.id());
        o.upstream = runner.id();
        o.callId = context.ids().next();
        requestIdByCall.put(o.callId, q.requestId());
        out.add(
                new Effect.CallService(
                        o.callId,
                        runner.id(),
                        q.service(),
                        q.operation(),
                        q.key(),
                        q.body(),
                        q.contentType(),
                        q.requestId(),
                        timeLeft(o)));
    }

    private Duration timeLeft(OpenCall o) {
        return Duration.ofNanos(Math.max(1_000_000, o.deadlineNanos - context.time().nanoTime()));
    }

    /** Prefers runners in this instance's data centre, ranked by a rendezvous hash per request. */
    private Upstream chooseRunner(OpenCall o) {
        String own = context.settings().self().dataCentre();
        List<Upstream> ranked =
                new ArrayList<>(
                        RendezvousHash.rank(
                                o.request.requestId(),
                                acceptingRunners(o.request.service()),
                                Upstream::id));
        ranked.removeIf(u -> o.tried.contains(u.id()));
        return ranked.stream()
                .filter(u -> u.dataCentre().equals(own))
                .findFirst()
                .orElse(ranked.isEmpty() ? null : ranked.get(0));
    }

    private List<Upstream> acceptingRunners(String service) {
        return clusterView.runners(service).stream().filter(Upstream::acceptsWork).toList();
    }

    /** Handles the answer to a call; returns false if the call does not belong to this table. */
    boolean onCallAnswered(long callId, Input.ServiceAnswer answer, Effects out) {
        OpenCall o = takeCall(callId);
        if (o == null) {
            return false;
        }
        if (answer.httpStatus() >= 500 && retry(o, true, out)) {
            return true;
        }
        ResultCode code = ResultCode.OK;
        if (answer.httpStatus() >= 500) {
            code = ResultCode.UPSTREAM_FAILED;
        } else if (answer.httpStatus() >= 400) {
            code = ResultCode.UPSTREAM_REJECTED;
        }
        finish(o, code, code == ResultCode.UPSTREAM_FAILED ? null : answer, out);
        return true;
    }

    /** Handles the failure of a call; returns false if the call does not belong to this table. */
    boolean onCallFailed(long callId, FailureReason reason, Effects out) {
        OpenCall o = takeCall(callId);
        if (o == null) {
            return false;
        }
        if (retry(o, !reason.provesNotRun(), out)) {
            return true;
        }
        finish(o, code(reason), null, out);
        return true;
    }

    private static ResultCode code(FailureReason reason) {
        return switch (reason) {
            case NOT_SENT, REFUSED -> ResultCode.NO_UPSTREAM;
            case SILENT -> ResultCode.SILENT_CONNECTION;
            case TIMED_OUT -> ResultCode.DEADLINE_PASSED;
            case REJECTED -> ResultCode.UPSTREAM_REJECTED;
            case BROKEN, CANCELLED -> ResultCode.UPSTREAM_FAILED;
        };
    }

    private OpenCall takeCall(long callId) {
        String id = requestIdByCall.remove(callId);
        OpenCall o = id == null ? null : openCalls.get(id);
        return o != null && o.callId == callId ? o : null;
    }

    /** Calls another runner if the request kind, the deadline and the retry budget allow it. */
    private boolean retry(OpenCall o, boolean mayHaveRun, Effects out) {
        boolean late = o.deadlineNanos - context.time().nanoTime() <= 0;
        o.mayHaveRun |= mayHaveRun;
        if ((mayHaveRun && !o.granted.kind().repeatable())
                || late
                || !context.readiness().mayDispatch()
                || o.attempts >= context.settings().maxAttempts()
                || chooseRunner(o) == null
                || !context.retryBudget().tryTake()) {
            return false;
        }
        out.add(new Effect.RecordMetric(CoreMetric.RETRIES, "service", 1));
        call(o, out);
        return true;
    }

    private void finish(OpenCall o, ResultCode code, Input.ServiceAnswer body, Effects out) {
        openCalls.remove(o.request.requestId());
        requestIdByCall.remove(o.callId);
        boolean wronglyClaimsNotRun = code.runState() == RunState.NOT_RUN && o.mayHaveRun;
        answer(
                o.request.requestId(),
                wronglyClaimsNotRun ? ResultCode.UPSTREAM_FAILED : code,
                o.upstream,
                body,
                out);
    }

    private void answer(
            String id, ResultCode code, String upstream, Input.ServiceAnswer body, Effects out) {
        out.add(
                new Effect.Answer(
                        id,
                        0,
                        code,
                        new Provenance(
                                "",
                                0,
                                context.configuration().number(),
                                upstream,
                                context.selfId()),
                        -1,
                        body,
                        Duration.ZERO,
                        Duration.ZERO,
                        ""));
    }

    /** Ends calls whose deadline has passed; the act manager enforces the deadlines of acts. */
    void onTick(Effects out) {
        long now = context.time().nanoTime();
        for (OpenCall o : List.copyOf(openCalls.values())) {
            if (!o.granted.kind().onceOnly() && now - o.deadlineNanos >= 0) {
                finish(o, ResultCode.DEADLINE_PASSED, null, out);
            }
        }
    }

    /** Ends the call of a disconnected caller; an act continues, so that its result is recorded. */
    void onCallerDisconnected(String requestId, Effects out) {
        OpenCall o = openCalls.get(requestId);
        if (o != null && !o.granted.kind().onceOnly()) {
            finish(o, ResultCode.CANCELLED, null, out);
        }
    }

    int size() {
        return openCalls.size();
    }
}
