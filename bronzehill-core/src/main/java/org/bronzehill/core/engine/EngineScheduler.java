package org.bronzehill.core.engine;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.admission.Entitlement;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.HolderHandover;
import org.bronzehill.protocol.generated.PermitRequest;
import org.bronzehill.protocol.generated.ResidentAdapter;

/** Schedules the requests and orders of one engine while this instance holds its lease. */
public final class EngineScheduler {

    private final Lease lease;
    private final SchedulerContext context;
    private Upstream upstream;
    private final Map<AdapterVersion, List<EngineRequest>> waiting = new LinkedHashMap<>();
    private final Map<Long, AdapterVersion> permits = new HashMap<>();
    private final Map<Long, AdapterVersion> orders = new HashMap<>();
    private final Map<AdapterVersion, String> resident = new LinkedHashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private long summaries;

    private EngineScheduler(Upstream upstream, Lease lease, SchedulerContext context) {
        this.upstream = upstream;
        this.lease = lease;
        this.context = context;
    }

    /** Creates the scheduler of one lease epoch. */
    public static EngineScheduler create(Upstream upstream, Lease lease, SchedulerContext context) {
        return new EngineScheduler(upstream, lease, context);
    }

    /** Takes over what the previous holder knew about the engine. */
    public void onHandover(HolderHandover handover, Effects out) {
        // Handles of earlier epochs are taken over with the eviction rules.
    }

    /** Takes a request; its result goes to the listener, possibly before this method returns. */
    public void submit(EngineRequest request, Effects out) {
        Either<ResultCode, Entitlement> resolved = resolve(request);
        if (resolved.isLeft()) {
            end(request, resolved.getLeft(), null, 0, out);
            return;
        }
        AdapterVersion version = resolved.get().version();
        if (resident.containsKey(version)) {
            start(request, resolved.get(), out);
            return;
        }
        List<EngineRequest> group = waiting.computeIfAbsent(version, v -> new ArrayList<>());
        group.add(request);
        if (group.size() == 1) {
            long sequence = context.ids().next();
            permits.put(sequence, version);
            context.permits()
                    .request(
                            PermitRequest.newBuilder()
                                    .setEngine(upstream.id())
                                    .setAdapter(version.adapter())
                                    .setVersion(version.version())
                                    .setSequence(sequence)
                                    .setDeadlineMs(request.deadline().toMillis())
                                    .setValue(1)
                                    .build(),
                            out);
        }
    }

    /** Cancels an attempt at a request; unknown ones are ignored. */
    public void cancel(String requestId, int attempt, Effects out) {
        attempts.forEach(
                (id, a) -> {
                    if (a.request().requestId().equals(requestId)) {
                        out.add(new Effect.CancelAttempt(id));
                    }
                });
    }

    /** Takes a report of the engine. */
    public void onReport(EngineReport report, Effects out) {
        // Reports are reconciled with the eviction rules.
    }

    /** Notes that the engine's report could not be read. */
    public void onReportFailed(Effects out) {
        // Reports are reconciled with the eviction rules.
    }

    /** Takes the outcome of an order; returns false if the order is not of this scheduler. */
    public boolean onOrderAnswered(
            long orderId, OrderOutcome outcome, long highestFencing, Effects out) {
        AdapterVersion version = orders.remove(orderId);
        if (version == null) {
            return false;
        }
        List<EngineRequest> group = waiting.remove(version);
        if (outcome == OrderOutcome.DONE) {
            resident.put(version, version.handle(lease.fencing()));
        }
        for (EngineRequest r : group == null ? List.<EngineRequest>of() : group) {
            submit(r, out);
        }
        return true;
    }

    /** Notes the first output of an attempt; returns false if it is not of this scheduler. */
    public boolean onAttemptStarted(long attemptId, Effects out) {
        return attempts.containsKey(attemptId);
    }

    /** Ends an attempt with a complete answer; returns false if it is not of this scheduler. */
    public boolean onAttemptFinished(long attemptId, long chunks, int tokens, Effects out) {
        Attempt a = attempts.remove(attemptId);
        if (a == null) {
            return false;
        }
        end(a.request(), ResultCode.OK, a.entitlement(), chunks, out);
        return true;
    }

    /** Ends an attempt that failed; returns false if it is not of this scheduler. */
    public boolean onAttemptFailed(
            long attemptId, FailureReason reason, long chunks, String detail, Effects out) {
        Attempt a = attempts.remove(attemptId);
        if (a == null) {
            return false;
        }
        end(
                a.request(),
                reason.provesNotRun() ? ResultCode.NO_UPSTREAM : ResultCode.UPSTREAM_FAILED,
                a.entitlement(),
                chunks,
                out);
        return true;
    }

    /** Uses a permit to load an adapter. */
    public void onPermit(long sequence, Effects out) {
        AdapterVersion version = permits.remove(sequence);
        if (version == null || !context.leases().holds(lease.resource())) {
            context.permits().finished(upstream.id(), sequence, false, out);
            return;
        }
        EngineRequest first = waiting.get(version).get(0);
        long order = context.ids().next();
        orders.put(order, version);
        out.add(
                new Effect.OrderEngine(
                        order,
                        upstream.id(),
                        OrderKind.LOAD,
                        version.handle(lease.fencing()),
                        version,
                        resolve(first).map(Entitlement::weights).getOrElse(""),
                        lease.fencing(),
                        ""));
    }

    /** Continues an eviction whose intent a majority of the grantors has recorded. */
    public void onIntentAcknowledged(String handle, Effects out) {
        // Evictions follow with the eviction rules.
    }

    /** Does what is due; called every 50 ms. */
    public void onTick(Effects out) {
        // Deadlines are enforced with the full queue.
    }

    /** Takes a changed description of the engine. */
    public void onUpstream(Upstream changed, Effects out) {
        upstream = changed;
    }

    /** Stops giving work and orders; queued requests end as not run, running ones finish. */
    public void leaseLost(Effects out) {
        List<EngineRequest> queued = new ArrayList<>();
        waiting.values().forEach(queued::addAll);
        waiting.clear();
        queued.forEach(r -> end(r, ResultCode.NO_HOLDER, null, 0, out));
    }

    /** Prepares a planned stop: takes no new requests and lets those in flight finish. */
    public void drain(Effects out) {
        // The planned stop follows with the full queue.
    }

    /** Returns the present state for the routers of the region. */
    public EngineSummary summary() {
        EngineSummary.Builder summary =
                EngineSummary.newBuilder()
                        .setEngine(upstream.id())
                        .setFencing(lease.fencing())
                        .setSequence(++summaries)
                        .setAdapterSlots(upstream.shape().adapterSlots())
                        .setRunning(attempts.size())
                        .setBatchSize(upstream.shape().batchSize())
                        .setLeaving(!upstream.acceptsWork())
                        .setAvailable(true)
                        .setDataCentre(upstream.dataCentre())
                        .setBaseModel(upstream.shape().baseModel());
        resident.keySet()
                .forEach(
                        v ->
                                summary.addAdapters(
                                        ResidentAdapter.newBuilder()
                                                .setAdapter(v.adapter())
                                                .setVersion(v.version())));
        return summary.build();
    }

    /** Returns what the next holder must know. */
    public HolderHandover handover() {
        return HolderHandover.newBuilder()
                .setResource(lease.resource())
                .setFencing(lease.fencing())
                .build();
    }

    /** Returns the number of requests that run or wait. */
    public int inFlight() {
        return attempts.size() + waiting.values().stream().mapToInt(List::size).sum();
    }

    private Either<ResultCode, Entitlement> resolve(EngineRequest r) {
        return Entitlement.resolve(
                context.configuration().get(), r.member(), r.caller(), r.kind(), r.adapter());
    }

    private void start(EngineRequest r, Entitlement e, Effects out) {
        long id = context.ids().next();
        attempts.put(id, new Attempt(r, e));
        out.add(
                new Effect.StartAttempt(
                        id,
                        upstream.id(),
                        resident.get(e.version()),
                        r.requestId(),
                        r.attempt(),
                        r.origin(),
                        r.body(),
                        r.stream(),
                        new Effect.AttemptLimits(
                                r.deadline(), e.kind().silence(), e.kind().urgency().ordinal())));
    }

    private void end(EngineRequest r, ResultCode code, Entitlement e, long chunks, Effects out) {
        EngineResult result =
                new EngineResult(
                        code,
                        r.adapter(),
                        e == null ? 0 : e.version().version(),
                        e == null
                                ? context.configuration().get().number()
                                : e.configurationNumber(),
                        e == null ? "" : upstream.id(),
                        chunks,
                        "",
                        Duration.ZERO,
                        Duration.ZERO);
        context.listener().ended(r, result, out);
    }

    private record Attempt(EngineRequest request, Entitlement entitlement) {}
}
