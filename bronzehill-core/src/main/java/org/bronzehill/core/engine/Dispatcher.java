package org.bronzehill.core.engine;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.admission.Entitlement;
import org.bronzehill.core.crash.CrashRegistry;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.result.ResultCode;

/** Starts queued requests on the engine and tracks their attempts until they end. */
final class Dispatcher {

    private static final int MAX_REQUEUES = 2;
    private static final long NOT_SENT_BACKOFF_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Time after its deadline or cancellation within which the transport must report the end of an
     * attempt.
     */
    private static final long END_GRACE_NANOS = Duration.ofSeconds(1).toNanos();

    private final EngineState engine;
    private final HandleTable handles;
    private final LoadPlanner loads;
    private final RequestCompletion completion;
    private final Map<Long, Attempt> attempts = new LinkedHashMap<>();

    Dispatcher(
            EngineState engine,
            HandleTable handles,
            LoadPlanner loads,
            RequestCompletion completion) {
        this.engine = engine;
        this.handles = handles;
        this.loads = loads;
        this.completion = completion;
    }

    /**
     * Starts ready requests while the batch has room.
     *
     * @return whether a request was queued again for another adapter version because the
     *     configuration had changed
     */
    boolean dispatch(Effects out) {
        boolean versionChanged = false;
        while (attempts.size() < engine.batch()
                && engine.acceptsWork()
                && engine.now() >= engine.noStartsBeforeNanos
                && engine.holdsLease()) {
            int active = attempts.size() + engine.queue().notAwaitingAdapterUpTo(Urgency.OVERNIGHT);
            AdmittedRequest q = engine.queue().first(r -> isReady(r, active));
            if (q == null) {
                return versionChanged;
            }
            versionChanged |= startOrEnd(q, out);
        }
        return versionChanged;
    }

    private boolean isReady(AdmittedRequest q, int active) {
        if (q.adapter.handle == null
                || GroupingPolicy.shouldDelay(
                        q, engine.policy(), engine.batch(), active, engine.now())) {
            return false;
        }
        int crashes = crashCount(q.request());
        return crashes == 0
                || crashes >= CrashRegistry.REFUSAL_THRESHOLD
                || !isMarkedRequestRunning();
    }

    /**
     * Resolves the entitlement and version again under the current configuration, then starts the
     * request, queues it for the new version or ends it.
     */
    private boolean startOrEnd(AdmittedRequest q, Effects out) {
        EngineRequest r = q.request();
        Either<ResultCode, Entitlement> resolved =
                Entitlement.resolve(
                        engine.configuration(), r.team(), r.caller(), r.kind(), r.adapter());
        if (resolved.isLeft()) {
            completion.endUnstarted(q, resolved.getLeft(), Duration.ZERO, out);
            return false;
        }
        if (crashCount(r) >= CrashRegistry.REFUSAL_THRESHOLD) {
            completion.endUnstarted(q, ResultCode.CRASHES_UPSTREAMS, Duration.ZERO, out);
            return false;
        }
        long now = engine.now();
        if (now >= q.deadlineNanos()) {
            completion.endUnstarted(q, ResultCode.DEADLINE_HOPELESS, Duration.ZERO, out);
            return false;
        }
        Entitlement e = resolved.get();
        boolean versionChanged = !e.version().equals(q.entitlement().version());
        AdapterDemand demand = q.adapter;
        engine.queue().remove(q, now);
        q.setEntitlement(e);
        if (versionChanged) {
            engine.queue().add(q, now);
            loads.onDemandChanged(q.adapter);
            return true;
        }
        start(q, demand, out);
        return false;
    }

    private void start(AdmittedRequest q, AdapterDemand demand, Effects out) {
        long now = engine.now();
        EngineRequest r = q.request();
        Entitlement e = q.entitlement();
        Attempt a = new Attempt(engine.nextId(), q, demand.handle, now);
        attempts.put(a.id(), a);
        a.handle().beginUse();
        demand.recordUse(1, now);
        engine.queue().charge(e, 1);
        out.add(
                new Effect.StartAttempt(
                        a.id(),
                        engine.engineId(),
                        a.handle().name(),
                        r.requestId(),
                        r.attempt(),
                        r.origin(),
                        r.body(),
                        r.stream(),
                        new Effect.AttemptLimits(
                                Duration.ofNanos(q.deadlineNanos() - now),
                                e.kind().silence(),
                                e.kind().urgency().ordinal())));
        String kind = e.kind().name();
        out.add(
                new Effect.RecordMetric(
                        CoreMetric.LOAD_STALL_SECONDS, kind, q.stallNanos(now) / 1e9));
        long waited = now - q.arrivedNanos();
        out.add(new Effect.RecordMetric(CoreMetric.QUEUE_WAIT_SECONDS, kind, waited / 1e9));
    }

    private int crashCount(EngineRequest r) {
        return r.fingerprint().length == 0
                ? 0
                : engine.context().crashes().crashCount(r.fingerprint());
    }

    private boolean isMarkedRequestRunning() {
        for (Attempt a : attempts.values()) {
            if (crashCount(a.request()) > 0) {
                return true;
            }
        }
        return false;
    }

    /** Records the first output of an attempt; returns false if the attempt is unknown. */
    boolean onFirstOutput(long id) {
        Attempt a = attempts.get(id);
        if (a != null) {
            a.hasOutput = true;
        }
        return a != null;
    }

    /** Ends an attempt with a complete answer; returns false if the attempt is unknown. */
    boolean onFinished(long id, long chunks, Effects out) {
        Attempt a = remove(id);
        if (a == null) {
            return false;
        }
        engine.waitEstimator()
                .recordRunTime(a.admitted().urgency(), engine.now() - a.startedNanos());
        byte[] fingerprint = a.request().fingerprint();
        if (fingerprint.length > 0) {
            engine.context().crashes().recordCompletion(fingerprint, out);
        }
        completion.endAttempted(a.admitted(), ResultCode.OK, chunks, out);
        return true;
    }

    /** Ends a failed attempt; returns false if the attempt is unknown. */
    boolean onFailed(long id, FailureReason reason, long chunks, Effects out) {
        Attempt a = attempts.get(id);
        if (a == null) {
            return false;
        }
        if (reason == FailureReason.BROKEN) {
            markCrashed(out);
        }
        remove(id);
        if (reason.provesNotRun()) {
            engine.queue().charge(a.admitted().entitlement(), -1);
            requeueOrEnd(a, reason, out);
            return true;
        }
        if (reason == FailureReason.BROKEN) {
            engine.queue().charge(a.admitted().entitlement(), -1);
        }
        if (reason != FailureReason.REJECTED) {
            handles.markAttemptMayStillRun(a.handle());
        }
        if (reason == FailureReason.SILENT || reason == FailureReason.TIMED_OUT) {
            out.add(new Effect.CancelAttempt(id));
        }
        if (reason == FailureReason.SILENT) {
            out.add(new Effect.RecordMetric(CoreMetric.SILENT_CONNECTIONS, engine.engineId(), 1));
        }
        completion.endAttempted(a.admitted(), codeOf(reason, chunks), chunks, out);
        return true;
    }

    private static ResultCode codeOf(FailureReason reason, long chunks) {
        return switch (reason) {
            case REJECTED -> ResultCode.UPSTREAM_REJECTED;
            case SILENT -> ResultCode.SILENT_CONNECTION;
            case TIMED_OUT -> ResultCode.DEADLINE_PASSED;
            case CANCELLED -> ResultCode.CANCELLED;
            default -> chunks > 0 ? ResultCode.TRUNCATED : ResultCode.UPSTREAM_FAILED;
        };
    }

    /**
     * Handles an attempt that provably did not run. The request is put back into the queue if the
     * engine refused it and a new attempt can succeed; otherwise, also if it could not be sent, it
     * ends as not run.
     */
    private void requeueOrEnd(Attempt a, FailureReason reason, Effects out) {
        AdmittedRequest q = a.admitted();
        long now = engine.now();
        if (reason == FailureReason.NOT_SENT) {
            engine.noStartsBeforeNanos = now + NOT_SENT_BACKOFF_NANOS;
        } else {
            // An unknown handle is the only reason for which an engine refuses a request with the
            // guarantee that it did not run.
            handles.markUnknownToEngine(a.handle());
        }
        boolean requeue =
                reason == FailureReason.REFUSED
                        && a.cancelledNanos < 0
                        && !engine.draining
                        && engine.acceptsWork()
                        && now < q.deadlineNanos()
                        && q.countRequeue() <= MAX_REQUEUES;
        if (!requeue) {
            completion.endUnstarted(q, ResultCode.NO_UPSTREAM, Duration.ZERO, out);
            return;
        }
        engine.queue().add(q, now);
        loads.onDemandChanged(q.adapter);
    }

    /** Counts this crash for every running request for which it has not been counted yet. */
    private void markCrashed(Effects out) {
        List<byte[]> marked = new ArrayList<>();
        for (Attempt a : attempts.values()) {
            if (!a.crashMarked && a.request().fingerprint().length > 0) {
                marked.add(a.request().fingerprint());
            }
            a.crashMarked = true;
        }
        if (!marked.isEmpty()) {
            engine.context().crashes().recordCrash(marked, out);
        }
    }

    /** Fails all attempts after a restart of the engine. */
    void onEngineRestart(Effects out) {
        markCrashed(out);
        for (Attempt a : List.copyOf(attempts.values())) {
            out.add(new Effect.CancelAttempt(a.id()));
            onFailed(a.id(), FailureReason.BROKEN, a.hasOutput ? 1 : 0, out);
        }
    }

    /** Cancels a running attempt; returns false if the attempt is not running. */
    boolean cancel(String requestId, int attempt, Effects out) {
        for (Attempt a : attempts.values()) {
            if (a.request().attempt() == attempt && a.request().requestId().equals(requestId)) {
                if (a.cancelledNanos < 0) {
                    a.cancelledNanos = engine.now();
                    out.add(new Effect.CancelAttempt(a.id()));
                }
                return true;
            }
        }
        return false;
    }

    /** Ends attempts whose transport has not reported their end within the grace period. */
    void onTick(Effects out) {
        long now = engine.now();
        for (Attempt a : List.copyOf(attempts.values())) {
            long chunks = a.hasOutput ? 1 : 0;
            if (a.cancelledNanos >= 0 && now - a.cancelledNanos > END_GRACE_NANOS) {
                onFailed(a.id(), FailureReason.CANCELLED, chunks, out);
            } else if (now - a.admitted().deadlineNanos() > END_GRACE_NANOS) {
                onFailed(a.id(), FailureReason.TIMED_OUT, chunks, out);
            }
        }
    }

    private Attempt remove(long id) {
        Attempt a = attempts.remove(id);
        if (a != null) {
            handles.endUse(a.handle());
        }
        return a;
    }

    /**
     * Returns the number of queued requests that wait only for a free place in the batch. Requests
     * that wait for their adapter or for a group to fill are not counted, as they do not delay
     * others.
     */
    int waitingForBatch() {
        int active = attempts.size() + engine.queue().notAwaitingAdapterUpTo(Urgency.OVERNIGHT);
        int[] count = {0};
        engine.queue().forEach(q -> count[0] += isReady(q, active) ? 1 : 0);
        return count[0];
    }

    Collection<Attempt> running() {
        return attempts.values();
    }
}
