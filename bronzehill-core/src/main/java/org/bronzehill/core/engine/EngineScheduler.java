package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.model.CacheEvents;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.HolderHandover;

/**
 * Schedules the requests, loads and evictions of one engine while this instance holds its lease.
 * After the lease is lost, the scheduler only tracks the attempts that still run; it can be
 * discarded when {@link #inFlight} is 0.
 */
public final class EngineScheduler {

    private final EngineState engine;
    private final HandleTable handles;
    private final EvictionPlanner evictions;
    private final LoadPlanner loads;
    private final Dispatcher dispatcher;
    private final AdmissionController admission;
    private final RequestCompletion completion;
    private final BatchMeter batchMeter;
    private final CachedPrefixes prefixes = new CachedPrefixes();
    private final SummaryBuilder summaries;

    private EngineScheduler(
            Upstream upstream, Lease lease, SchedulerContext context, EvictionRule rule) {
        engine = new EngineState(upstream, lease, context);
        handles = new HandleTable(engine, rule);
        evictions = new EvictionPlanner(engine, handles);
        loads = new LoadPlanner(engine, handles, evictions);
        completion = new RequestCompletion(engine);
        dispatcher = new Dispatcher(engine, handles, loads, completion);
        admission = new AdmissionController(engine, loads, dispatcher, completion);
        batchMeter = new BatchMeter(upstream.id(), engine.now());
        summaries = new SummaryBuilder(engine, handles, dispatcher, prefixes);
    }

    /** Creates the scheduler for one lease epoch. */
    public static EngineScheduler create(Upstream upstream, Lease lease, SchedulerContext context) {
        return create(upstream, lease, context, EvictionRule.SAFE);
    }

    /**
     * Creates a scheduler with the given eviction rule. Tests pass unsafe rules to show that the
     * tests detect wrong evictions.
     */
    static EngineScheduler create(
            Upstream upstream, Lease lease, SchedulerContext context, EvictionRule rule) {
        return new EngineScheduler(upstream, lease, context, rule);
    }

    /** Applies the state sent by the previous holder at its planned stop. */
    public void onHandover(HolderHandover handover, Effects out) {
        handles.onHandover(handover);
        schedule(out);
    }

    /**
     * Queues or refuses a request. Its result goes to the listener, possibly before this method
     * returns.
     */
    public void submit(EngineRequest request, Effects out) {
        admission.submit(request, out);
        schedule(out);
    }

    /** Cancels an attempt at a request; an unknown attempt is ignored. */
    public void cancel(String requestId, int attempt, Effects out) {
        if (dispatcher.cancel(requestId, attempt, out)) {
            return;
        }
        for (AdmittedRequest q : engine.queue().snapshot()) {
            if (q.isQueued()
                    && q.request().attempt() == attempt
                    && q.request().requestId().equals(requestId)) {
                completion.endUnstarted(q, ResultCode.CANCELLED, Duration.ZERO, out);
            }
        }
        schedule(out);
    }

    /** Reconciles the scheduler's state with a report of the engine. */
    public void onReport(EngineReport report, Effects out) {
        engine.reportFailuresSinceNanos = -1;
        if (handles.isRestart(report)) {
            updateBatchMeter();
            dispatcher.onEngineRestart(out);
            evictions.onEngineRestart(out);
            handles.onEngineRestart();
            loads.onEngineRestart(out);
            prefixes.onEngineRestart();
        }
        if (report.highestFencing() > 0) {
            engine.context()
                    .leases()
                    .observeFencing(engine.lease().resource(), report.highestFencing());
        }
        handles.reconcile(report, new ReportListener(out));
        schedule(out);
    }

    /** Applies events of the engine's prefix cache. */
    public void onCacheEvents(CacheEvents events) {
        prefixes.onEvents(events);
    }

    /** Returns the sequence number after which the next cache events must be read. */
    public long lastCacheEventSequence() {
        return prefixes.lastSequence();
    }

    /**
     * Records that the engine's report could not be read; ends the queued requests once the engine
     * counts as unreachable.
     */
    public void onReportFailed(Effects out) {
        if (engine.reportFailuresSinceNanos < 0) {
            engine.reportFailuresSinceNanos = engine.now();
        }
        if (engine.isUnreachable()) {
            refuseQueue(ResultCode.NO_UPSTREAM, out);
        }
    }

    /** Handles the outcome of an order; returns false if this scheduler did not send the order. */
    public boolean onOrderAnswered(
            long orderId, OrderOutcome outcome, long highestFencing, Effects out) {
        if (outcome == OrderOutcome.FENCED) {
            engine.context().leases().observeFencing(engine.lease().resource(), highestFencing);
        }
        boolean known =
                loads.onAnswered(orderId, outcome, out)
                        || evictions.onAnswered(orderId, outcome, out);
        if (known) {
            schedule(out);
        }
        return known;
    }

    /** Records the first output of an attempt; returns false if this scheduler did not start it. */
    public boolean onFirstOutput(long attemptId, Effects out) {
        return dispatcher.onFirstOutput(attemptId);
    }

    /** Ends an attempt with a complete answer; returns false if this scheduler did not start it. */
    public boolean onAttemptFinished(long attemptId, long chunks, int tokens, Effects out) {
        updateBatchMeter();
        boolean known = dispatcher.onFinished(attemptId, chunks, out);
        if (known) {
            schedule(out);
        }
        return known;
    }

    /** Ends a failed attempt; returns false if this scheduler did not start it. */
    public boolean onAttemptFailed(
            long attemptId, FailureReason reason, long chunks, String detail, Effects out) {
        updateBatchMeter();
        boolean known = dispatcher.onFailed(attemptId, reason, chunks, out);
        if (known) {
            schedule(out);
        }
        return known;
    }

    /** Handles a granted load permit. */
    public void onPermit(long sequence, Effects out) {
        loads.onPermit(sequence, out);
    }

    /** Continues an eviction after a majority of the grantors has recorded its intent. */
    public void onIntentAcknowledged(String handle, Effects out) {
        evictions.onIntentAcknowledged(handle, out);
    }

    /** Handles time-outs, updates the overload level and schedules work; called every 50 ms. */
    public void onTick(Effects out) {
        updateBatchMeter();
        batchMeter.report(engine.queue().size(), engine.now(), out);
        dispatcher.onTick(out);
        loads.onTick(out);
        if (!engine.leaseLost) {
            evictions.onTick(out);
            admission.onTick(out);
        }
        engine.queue().prune(engine.now());
        schedule(out);
    }

    /** Updates the description of the engine; an engine that is leaving gets no new work. */
    public void onUpstream(Upstream changed, Effects out) {
        engine.upstream = changed;
        if (!changed.acceptsWork()) {
            loads.releasePermits(out);
            refuseQueue(ResultCode.NO_UPSTREAM, out);
        }
        schedule(out);
    }

    /**
     * Stops sending work and orders to the engine. Queued requests end as not run; running ones
     * finish.
     */
    public void onLeaseLost(Effects out) {
        engine.leaseLost = true;
        loads.releasePermits(out);
        refuseQueue(ResultCode.NO_HOLDER, out);
    }

    /**
     * Prepares a planned stop: refuses new requests and lets those in flight finish. A queued
     * request ends as not run if it is not urgent, or if its adapter is not resident and no load
     * order for it awaits an answer, so that the stop does not wait for it.
     */
    public void drain(Effects out) {
        engine.draining = true;
        for (AdmittedRequest q : engine.queue().snapshot()) {
            boolean residentOrLoading =
                    q.isQueued()
                            && (q.adapter.handle != null
                                    || q.adapter.phase == AdapterDemand.Phase.LOAD_ORDERED);
            if (q.isQueued()
                    && (!residentOrLoading || Urgency.PROMPT.isMoreUrgentThan(q.urgency()))) {
                completion.endUnstarted(q, ResultCode.DRAINING, Duration.ZERO, out);
            }
        }
        loads.releasePermits(out);
        schedule(out);
    }

    /**
     * Returns a summary of the engine for the routers of the region. Its {@code holder} field is
     * empty; the caller sets it before it sends the summary.
     */
    public EngineSummary summary() {
        return summaries.summary();
    }

    /** Returns the state that the next holder needs. */
    public HolderHandover handover() {
        return summaries.handover();
    }

    /** Returns the number of requests that run or wait. */
    public int inFlight() {
        return dispatcher.running().size() + engine.queue().size();
    }

    private void refuseQueue(ResultCode code, Effects out) {
        for (AdmittedRequest q : engine.queue().snapshot()) {
            if (q.isQueued()) {
                completion.endUnstarted(q, code, Duration.ZERO, out);
            }
        }
    }

    private void schedule(Effects out) {
        if (engine.leaseLost) {
            return;
        }
        updateBatchMeter();
        loads.plan(out);
        if (dispatcher.dispatch(out)) {
            loads.plan(out);
        }
    }

    private void updateBatchMeter() {
        batchMeter.advance(dispatcher.running().size(), engine.batch(), engine.now());
    }

    /** Acts on the changes that a report has revealed. */
    private final class ReportListener implements HandleTable.Listener {

        private final Effects out;

        ReportListener(Effects out) {
            this.out = out;
        }

        @Override
        public void onResident(AdapterHandle handle) {
            loads.onResident(handle);
        }

        @Override
        public void onRemoved(AdapterHandle handle, AdapterHandle.Status before) {
            if (before == AdapterHandle.Status.LOAD_UNKNOWN) {
                loads.onLoadNotSeen(handle, out);
            } else if (before != AdapterHandle.Status.RESIDENT || handle.inheritedIntent()) {
                evictions.finishIntent(handle, out);
            }
            AdapterDemand demand =
                    handle.version() == null ? null : engine.queue().find(handle.version());
            if (demand != null && !demand.waiting().isEmpty()) {
                loads.onDemandChanged(demand);
            }
        }

        @Override
        public void onStillPresent(AdapterHandle handle) {
            evictions.repeatOrder(handle, out);
        }
    }
}
