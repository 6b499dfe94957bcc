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
import org.bronzehill.core.onceonly.ActCoordinator;
import org.bronzehill.core.onceonly.ActPeers;
import org.bronzehill.core.onceonly.ActRequest;
import org.bronzehill.core.onceonly.ActResult;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/** The calls of this instance's own callers to plain services. */
final class ServiceRequests {

    private final Map<String, Open> open = new LinkedHashMap<>();
    private final Map<Long, String> calls = new HashMap<>();
    private final CoreContext context;
    private final AccessCheck access;
    private final ActPeers fleet;
    private ActCoordinator acts;

    ServiceRequests(CoreContext context, AccessCheck access, ActPeers fleet) {
        this.context = context;
        this.access = access;
        this.fleet = fleet;
    }

    /** Sets the coordinator that runs once-only acts. */
    void bind(ActCoordinator coordinator) {
        acts = coordinator;
    }

    private static final class Open {
        final ServiceRequest request;
        final AccessCheck.Granted granted;
        final long deadlineNanos;
        final Set<String> tried = new HashSet<>();
        String upstream = "";
        long callId;
        int attempts;
        boolean mayHaveRun;

        Open(ServiceRequest request, AccessCheck.Granted granted, long now) {
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
        context.retries().onNewRequest();
        Open added = new Open(request, granted.get(), context.time().nanoTime());
        open.put(request.requestId(), added);
        if (granted.get().kind().onceOnly()) {
            acts.submit(act(request, granted.get()), out);
        } else {
            call(added, out);
        }
    }

    private ResultCode refusal(ServiceRequest request, AccessCheck.Granted granted) {
        if (open.containsKey(request.requestId())) {
            return ResultCode.MALFORMED_REQUEST;
        }
        if (open.size() >= context.configuration().limits().openRequests()) {
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

    private static ActRequest act(ServiceRequest request, AccessCheck.Granted granted) {
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

    /** Takes the result of a once-only act. */
    void onAct(String requestId, ActResult result, Effects out) {
        if (open.remove(requestId) == null) {
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

    private void call(Open o, Effects out) {
        Upstream runner = choose(o);
        if (runner == null) {
            finish(o, ResultCode.NO_UPSTREAM, null, out);
            return;
        }
        ServiceRequest q = o.request;
        o.attempts++;
        o.tried.add(runner.id());
        o.upstream = runner.id();
        o.callId = context.ids().next();
        calls.put(o.callId, q.requestId());
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
                        left(o)));
    }

    private Duration left(Open o) {
        return Duration.ofNanos(Math.max(1_000_000, o.deadlineNanos - context.time().nanoTime()));
    }

    /** Prefers the own data centre, then spreads by request id. */
    private Upstream choose(Open o) {
        String own = context.settings().self().dataCentre();
        List<Upstream> ranked =
                new ArrayList<>(
                        RendezvousHash.rank(
                                o.request.requestId(),
                                accepting(o.request.service()),
                                Upstream::id));
        ranked.removeIf(u -> o.tried.contains(u.id()));
        return ranked.stream()
                .filter(u -> u.dataCentre().equals(own))
                .findFirst()
                .orElse(ranked.isEmpty() ? null : ranked.get(0));
    }

    private List<Upstream> accepting(String service) {
        return fleet.runners(service).stream().filter(Upstream::acceptsWork).toList();
    }

    /** Takes an answer; false if the call is not of a plain request. */
    boolean onAnswered(long callId, Input.ServiceAnswer answer, Effects out) {
        Open o = take(callId);
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

    /** Takes a failure; false if the call is not of a plain request. */
    boolean onFailed(long callId, FailureReason reason, Effects out) {
        Open o = take(callId);
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

    private Open take(long callId) {
        String id = calls.remove(callId);
        Open o = id == null ? null : open.get(id);
        return o != null && o.callId == callId ? o : null;
    }

    /** Calls another runner if the kind and the retry budget allow it. */
    private boolean retry(Open o, boolean mayHaveRun, Effects out) {
        boolean late = o.deadlineNanos - context.time().nanoTime() <= 0;
        o.mayHaveRun |= mayHaveRun;
        if ((mayHaveRun && !o.granted.kind().repeatable())
                || late
                || !context.readiness().mayDispatch()
                || o.attempts >= context.settings().maxAttempts()
                || choose(o) == null
                || !context.retries().tryTake()) {
            return false;
        }
        out.add(new Effect.RecordMetric(CoreMetric.RETRIES, "service", 1));
        call(o, out);
        return true;
    }

    private void finish(Open o, ResultCode code, Input.ServiceAnswer body, Effects out) {
        open.remove(o.request.requestId());
        calls.remove(o.callId);
        boolean untrue = code.runState() == RunState.NOT_RUN && o.mayHaveRun;
        answer(
                o.request.requestId(),
                untrue ? ResultCode.UPSTREAM_FAILED : code,
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

    /** Ends plain requests whose deadline has passed; acts have deadlines of their own. */
    void onTick(Effects out) {
        long now = context.time().nanoTime();
        for (Open o : List.copyOf(open.values())) {
            if (!o.granted.kind().onceOnly() && now - o.deadlineNanos >= 0) {
                finish(o, ResultCode.DEADLINE_PASSED, null, out);
            }
        }
    }

    /**
     * Forgets a plain request whose caller is gone; an act goes on, so that its result is known.
     */
    void onCallerGone(String requestId, Effects out) {
        Open o = open.get(requestId);
        if (o != null && !o.granted.kind().onceOnly()) {
            finish(o, ResultCode.CANCELLED, null, out);
        }
    }

    int size() {
        return open.size();
    }
}
