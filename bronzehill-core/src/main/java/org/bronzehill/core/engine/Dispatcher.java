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

/** Starts queued requests on the engine and follows their attempts. */
final class Dispatcher {

    private static final int MAX_REQUEUES = 2;
    private static final long UNREACHABLE_NANOS = Duration.ofMillis(500).toNanos();

    /** Time after its deadline or cancellation in which an attempt must end by itself. */
    private static final long GRACE_NANOS = Duration.ofSeconds(1).toNanos();

    private final EngineState engine;
    private final HandleTable handles;
    private final LoadPlanner loads;
    private final RequestEnds ends;
    private final Map<Long, Attempt> attempts = new LinkedHashMap<>();

    Dispatcher(EngineState engine, HandleTable handles, LoadPlanner loads, RequestEnds ends) {
        this.engine = engine;
        this.handles = handles;
        this.loads = loads;
        this.ends = ends;
    }

    /**
     * Starts ready requests while the batch has room.
     *
     * @return whether a request now waits for another version than before
     */
    boolean dispatch(Effects out) {
        boolean moved = false;
        while (attempts.size() < engine.batch()
                && engine.takesWork()
                && engine.now() >= engine.unreachableUntilNanos
                && engine.mayAct()) {
            int active = attempts.size() + engine.queue().readyUpTo(Urgency.OVERNIGHT);
            QueuedRequest q = engine.queue().first(r -> isReady(r, active));
            if (q == null) {
                return moved;
            }
            moved |= startOrEnd(q, out);
        }
        return moved;
    }

    private boolean isReady(QueuedRequest q, int active) {
        if (q.adapter.handle == null
                || GroupingPolicy.holds(q, engine.policy(), engine.batch(), active, engine.now())) {
            return false;
        }
        int marks = marks(q.request());
        return marks == 0 || marks >= CrashRegistry.REFUSAL_THRESHOLD || !markedRuns();
    }

    /** Resolves the version again under the configuration in force, then starts the request. */
    private boolean startOrEnd(QueuedRequest q, Effects out) {
        EngineRequest r = q.request();
        Either<ResultCode, Entitlement> resolved =
                Entitlement.resolve(
                        engine.configuration(), r.member(), r.caller(), r.kind(), r.adapter());
        if (resolved.isLeft()) {
            ends.notStarted(q, resolved.getLeft(), Duration.ZERO, out);
            return false;
        }
        if (marks(r) >= CrashRegistry.REFUSAL_THRESHOLD) {
            ends.notStarted(q, ResultCode.CRASHES_UPSTREAMS, Duration.ZERO, out);
            return false;
        }
        long now = engine.now();
        if (now >= q.deadlineNanos()) {
            ends.notStarted(q, ResultCode.DEADLINE_HOPELESS, Duration.ZERO, out);
            return false;
        }
        Entitlement e = resolved.get();
        boolean moved = !e.version().equals(q.entitlement().version());
        AdapterState state = q.adapter;
        engine.queue().remove(q, now);
        q.resolved(e);
        if (moved) {
            engine.queue().add(q, now);
            loads.touch(q.adapter);
            return true;
        }
        start(q, state, out);
        return false;
    }

    private void start(QueuedRequest q, AdapterState state, Effects out) {
        long now = engine.now();
        EngineRequest r = q.request();
        Entitlement e = q.entitlement();
        Attempt a = new Attempt(engine.nextId(), q, state.handle, now);
        attempts.put(a.id(), a);
        a.handle().use();
        state.used(1, now);
        engine.queue().charge(e, 1);
        out.add(
                new Effect.StartAttempt(
                        a.id(),
                        engine.engine(),
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

    private int marks(EngineRequest r) {
        return r.fingerprint().length == 0 ? 0 : engine.context().crashes().marks(r.fingerprint());
    }

    private boolean markedRuns() {
        for (Attempt a : attempts.values()) {
            if (marks(a.request()) > 0) {
                return true;
            }
        }
        return false;
    }

    /** Notes the first output of an attempt. */
    boolean started(long id) {
        Attempt a = attempts.get(id);
        if (a != null) {
            a.hasOutput = true;
        }
        return a != null;
    }

    /** Ends an attempt with a complete answer. */
    boolean finished(long id, long chunks, Effects out) {
        Attempt a = remove(id);
        if (a == null) {
            return false;
        }
        engine.waitEstimator().served(a.queued().urgency(), engine.now() - a.startedNanos());
        byte[] fingerprint = a.request().fingerprint();
        if (fingerprint.length > 0) {
            engine.context().crashes().recordCompletion(fingerprint, out);
        }
        ends.ran(a.queued(), ResultCode.OK, chunks, out);
        return true;
    }

    /** Ends an attempt that failed. */
    boolean failed(long id, FailureReason reason, long chunks, Effects out) {
        Attempt a = attempts.get(id);
        if (a == null) {
            return false;
        }
        if (reason == FailureReason.BROKEN) {
            markCrashed(out);
        }
        remove(id);
        if (reason.provesNotRun()) {
            engine.queue().charge(a.queued().entitlement(), -1);
            notRun(a, reason, out);
            return true;
        }
        if (reason == FailureReason.BROKEN) {
            engine.queue().charge(a.queued().entitlement(), -1);
        }
        if (reason != FailureReason.REJECTED) {
            handles.linger(a.handle());
        }
        if (reason == FailureReason.SILENT || reason == FailureReason.TIMED_OUT) {
            out.add(new Effect.CancelAttempt(id));
        }
        if (reason == FailureReason.SILENT) {
            out.add(new Effect.RecordMetric(CoreMetric.SILENT_CONNECTIONS, engine.engine(), 1));
        }
        ends.ran(a.queued(), codeOf(reason, chunks), chunks, out);
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

    /** Queues the request again if that can help, or ends it as not run. */
    private void notRun(Attempt a, FailureReason reason, Effects out) {
        QueuedRequest q = a.queued();
        long now = engine.now();
        if (reason == FailureReason.NOT_SENT) {
            engine.unreachableUntilNanos = now + UNREACHABLE_NANOS;
        } else {
            // Engines promise only for an unknown handle that a refused request did not run.
            handles.unknown(a.handle());
        }
        boolean again =
                reason == FailureReason.REFUSED
                        && a.cancelledNanos < 0
                        && !engine.draining
                        && engine.takesWork()
                        && now < q.deadlineNanos()
                        && q.requeued() <= MAX_REQUEUES;
        if (!again) {
            ends.notStarted(q, ResultCode.NO_UPSTREAM, Duration.ZERO, out);
            return;
        }
        engine.queue().add(q, now);
        loads.touch(q.adapter);
    }

    /** Gives one crash mark to every running request that has none for this crash. */
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

    /** Fails all attempts, after a restart of the engine. */
    void restarted(Effects out) {
        markCrashed(out);
        for (Attempt a : List.copyOf(attempts.values())) {
            out.add(new Effect.CancelAttempt(a.id()));
            failed(a.id(), FailureReason.BROKEN, a.hasOutput ? 1 : 0, out);
        }
    }

    /** Cancels a running attempt; returns false if it does not run. */
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

    /** Ends attempts whose transport has not reported their end in time. */
    void onTick(Effects out) {
        long now = engine.now();
        for (Attempt a : List.copyOf(attempts.values())) {
            long chunks = a.hasOutput ? 1 : 0;
            if (a.cancelledNanos >= 0 && now - a.cancelledNanos > GRACE_NANOS) {
                failed(a.id(), FailureReason.CANCELLED, chunks, out);
            } else if (now - a.queued().deadlineNanos() > GRACE_NANOS) {
                failed(a.id(), FailureReason.TIMED_OUT, chunks, out);
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
     * Returns how many queued requests wait for a place in the batch. Requests that wait for their
     * adapter or for a group do not delay others.
     */
    int waitingForBatch() {
        int active = attempts.size() + engine.queue().readyUpTo(Urgency.OVERNIGHT);
        int[] count = {0};
        engine.queue().forEach(q -> count[0] += isReady(q, active) ? 1 : 0);
        return count[0];
    }

    Collection<Attempt> running() {
        return attempts.values();
    }
}
