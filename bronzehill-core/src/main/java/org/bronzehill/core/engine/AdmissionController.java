package org.bronzehill.core.engine;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import org.bronzehill.config.KindSpec;
import org.bronzehill.config.Limits;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.admission.Entitlement;
import org.bronzehill.core.admission.OverloadPolicy;
import org.bronzehill.core.crash.CrashRegistry;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.result.ResultCode;

/**
 * Admits or refuses requests on arrival, and ends queued requests that can no longer meet their
 * deadline or whose adapter repeatedly failed to load.
 */
final class AdmissionController {

    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private final EngineState engine;
    private final LoadPlanner loads;
    private final Dispatcher dispatcher;
    private final RequestCompletion completion;
    private final OverloadPolicy overload;
    private long urgentDeadlineConfigurationNumber = -1;
    private long urgentDeadlineNanos;

    AdmissionController(
            EngineState engine,
            LoadPlanner loads,
            Dispatcher dispatcher,
            RequestCompletion completion) {
        this.engine = engine;
        this.loads = loads;
        this.dispatcher = dispatcher;
        this.completion = completion;
        this.overload = OverloadPolicy.create(engine.context().time());
    }

    /** Queues the request, or ends it with the reason for its refusal. */
    void submit(EngineRequest r, Effects out) {
        Either<ResultCode, Entitlement> resolved =
                Entitlement.resolve(
                        engine.configuration(), r.team(), r.caller(), r.kind(), r.adapter());
        ResultCode code = unavailable();
        if (code == null && resolved.isLeft()) {
            code = resolved.getLeft();
        }
        if (code == null
                && !resolved.get()
                        .adapter()
                        .baseModel()
                        .equals(engine.upstream.engineProperties().baseModel())) {
            code = ResultCode.NO_UPSTREAM;
        }
        if (code == null
                && r.fingerprint().length > 0
                && engine.context().crashes().crashCount(r.fingerprint())
                        >= CrashRegistry.REFUSAL_THRESHOLD) {
            code = ResultCode.CRASHES_UPSTREAMS;
        }
        if (code != null) {
            completion.refuse(r, code, Duration.ZERO, out);
            return;
        }
        admit(new AdmittedRequest(r, resolved.get(), engine.now()), out);
    }

    private ResultCode unavailable() {
        if (!engine.holdsLease()) {
            return ResultCode.NO_HOLDER;
        }
        if (engine.draining) {
            return ResultCode.DRAINING;
        }
        return engine.acceptsWork() ? null : ResultCode.NO_UPSTREAM;
    }

    private void admit(AdmittedRequest q, Effects out) {
        Entitlement e = q.entitlement();
        AdapterDemand demand = engine.queue().getOrCreate(e.version(), e.weights());
        ResultCode code = refusal(q, demand);
        if (code == null && engine.queue().size() >= limits().engineQueue()) {
            AdmittedRequest displaced = engine.queue().displaceableFor(e);
            if (displaced == null) {
                code = ResultCode.QUEUE_FULL;
            } else {
                boolean sameClass = displaced.urgency() == q.urgency();
                completion.endUnstarted(
                        displaced,
                        sameClass ? ResultCode.MEMBER_LIMIT : ResultCode.SHED,
                        DEFAULT_RETRY_AFTER,
                        out);
            }
        }
        if (code != null) {
            refuseOrRedirect(q.request(), code, out);
            return;
        }
        engine.queue().add(q, engine.now());
        loads.onDemandChanged(demand);
    }

    private ResultCode refusal(AdmittedRequest q, AdapterDemand demand) {
        long now = engine.now();
        if (overload.sheds(q.urgency())) {
            return ResultCode.SHED;
        }
        if (demand.loadFailures >= LoadPlanner.MAX_LOAD_FAILURES
                && now < demand.loadNotBeforeNanos) {
            return ResultCode.LOAD_FAILED;
        }
        long wait = queueWait(q.urgency());
        if (demand.handle == null) {
            long load = loadWait(demand, q.deadlineNanos(), now);
            if (load > 0 && now + load >= q.deadlineNanos()) {
                demand.recordRefusedDemand(now);
                loads.onDemandChanged(demand);
                return ResultCode.DEADLINE_HOPELESS;
            }
            wait = Math.max(wait, load);
        }
        long needed = wait + (wait > 0 ? engine.waitEstimator().serviceNanos(q.urgency()) : 0);
        return now + needed >= q.deadlineNanos() ? ResultCode.DEADLINE_HOPELESS : null;
    }

    private long queueWait(Urgency urgency) {
        return engine.waitEstimator()
                .queueNanos(
                        engine.queue().notAwaitingAdapterUpTo(urgency),
                        dispatcher.running().size(),
                        engine.batch());
    }

    /** Returns the expected load stall of a further request for the adapter. */
    private long loadWait(AdapterDemand demand, long deadline, long now) {
        return switch (demand.phase) {
            case LOAD_ORDERED, LOAD_UNKNOWN, PERMIT_GRANTED -> engine.waitEstimator().loadNanos();
            default ->
                    engine.waitEstimator()
                            .loadWaitNanos(
                                    demand.phase == AdapterDemand.Phase.PERMIT_REQUESTED
                                            ? 0
                                            : loads.loadsWithoutPermit(deadline),
                                    limits().storeLoadsPerSecond(),
                                    now);
        };
    }

    private void refuseOrRedirect(EngineRequest r, ResultCode code, Effects out) {
        Option<String> alternative =
                r.finalHop()
                        ? Option.none()
                        : engine.context().placement().alternativeEngine(r, engine.engineId());
        if (alternative.isDefined()) {
            completion.redirect(r, alternative.get(), out);
            return;
        }
        Duration retryAfter =
                switch (code) {
                    case SHED -> overload.retryAfter();
                    case QUEUE_FULL, LOAD_FAILED -> DEFAULT_RETRY_AFTER;
                    default -> Duration.ZERO;
                };
        completion.refuse(r, code, retryAfter, out);
    }

    /**
     * Updates the overload level, and ends queued requests that can no longer be served in time or
     * whose adapter repeatedly failed to load.
     */
    void onTick(Effects out) {
        double fill = (double) engine.queue().size() / Math.max(1, limits().engineQueue());
        double urgentWaitRatio = (double) queueWait(Urgency.PROMPT) / urgentDeadlineNanos();
        overload.update(Math.max(fill, 2 * urgentWaitRatio));
        long now = engine.now();
        for (AdmittedRequest q : engine.queue().snapshot()) {
            if (!q.isQueued()) {
                continue;
            }
            AdapterDemand s = q.adapter;
            boolean loading =
                    s.phase == AdapterDemand.Phase.LOAD_ORDERED
                            || s.phase == AdapterDemand.Phase.PERMIT_GRANTED;
            boolean needsFullLoad = s.handle == null && !loading;
            long needed = needsFullLoad ? engine.waitEstimator().loadNanos() : 0;
            boolean failed = s.handle == null && s.loadFailures >= LoadPlanner.MAX_LOAD_FAILURES;
            if (failed || now + needed >= q.deadlineNanos()) {
                if (needsFullLoad && !failed) {
                    s.recordRefusedDemand(now);
                }
                completion.endUnstarted(
                        q,
                        s.loadFailures > 0 && s.handle == null
                                ? ResultCode.LOAD_FAILED
                                : ResultCode.DEADLINE_HOPELESS,
                        failed ? DEFAULT_RETRY_AFTER : Duration.ZERO,
                        out);
            }
        }
    }

    /**
     * Returns the shortest deadline of the interactive and prompt kinds, but at most one minute;
     * the queue wait is compared with it to measure the pressure.
     */
    private long urgentDeadlineNanos() {
        long number = engine.configuration().number();
        if (urgentDeadlineConfigurationNumber != number) {
            urgentDeadlineConfigurationNumber = number;
            urgentDeadlineNanos = Duration.ofMinutes(1).toNanos();
            for (KindSpec k : engine.configuration().base().kinds().values()) {
                if (k.isModelRequest() && k.urgency().ordinal() <= Urgency.PROMPT.ordinal()) {
                    urgentDeadlineNanos =
                            Math.min(urgentDeadlineNanos, Math.max(1, k.deadline().toNanos()));
                }
            }
        }
        return urgentDeadlineNanos;
    }

    private Limits limits() {
        return engine.configuration().limits();
    }
}
