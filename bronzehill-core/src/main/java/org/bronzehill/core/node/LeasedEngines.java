package org.bronzehill.core.node;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.bronzehill.core.engine.EngineRequest;
import org.bronzehill.core.engine.EngineScheduler;
import org.bronzehill.core.engine.SchedulerContext;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.core.model.CacheEvents;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.HolderHandover;

/**
 * The schedulers of the engines whose lease this instance holds. Schedulers of lost leases are kept
 * until their running requests have ended.
 */
final class LeasedEngines {

    private final Map<String, EngineScheduler> active = new LinkedHashMap<>();
    private final List<EngineScheduler> retired = new ArrayList<>();
    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final CoreContext context;
    private final SchedulerContext schedulerContext;
    private final AttemptResultForwarder resultForwarder;

    LeasedEngines(
            CoreContext context,
            SchedulerContext schedulerContext,
            AttemptResultForwarder resultForwarder) {
        this.context = context;
        this.schedulerContext = schedulerContext;
        this.resultForwarder = resultForwarder;
    }

    /** Starts the scheduler of a new lease epoch. */
    void onLeaseAcquired(Lease lease, Option<HolderHandover> handover, Effects out) {
        String engine = Resources.engineId(lease.resource());
        Upstream upstream = upstreams.get(engine);
        if (upstream == null) {
            return;
        }
        retire(engine, out);
        EngineScheduler scheduler = EngineScheduler.create(upstream, lease, schedulerContext);
        active.put(engine, scheduler);
        handover.forEach(h -> scheduler.onHandover(h, out));
    }

    /** Stops sending new work to the engine; its running requests complete. */
    void onLeaseLost(String resource, Effects out) {
        retire(Resources.engineId(resource), out);
    }

    private void retire(String engine, Effects out) {
        EngineScheduler scheduler = active.remove(engine);
        if (scheduler != null) {
            scheduler.onLeaseLost(out);
            if (scheduler.inFlight() > 0) {
                retired.add(scheduler);
            }
        }
    }

    /**
     * Updates the schedulers from the instance list. Schedulers of engines that are no longer
     * listed are not removed here: {@code LeaseManager.onInstanceList} ends their leases, after
     * which their running requests still complete.
     */
    void onInstanceList(InstanceList list, Effects out) {
        upstreams.clear();
        list.upstreams().forEach(u -> upstreams.put(u.id(), u));
        active.forEach(
                (id, s) -> {
                    Upstream changed = upstreams.get(id);
                    if (changed != null) {
                        s.onUpstream(changed, out);
                    }
                });
    }

    /**
     * Submits a request to the scheduler of an engine.
     *
     * @param configurationNumber number of the configuration at the origin
     */
    void submit(String engine, EngineRequest request, long configurationNumber, Effects out) {
        EngineScheduler scheduler = active.get(engine);
        ResultCode refusal = refusal(scheduler, configurationNumber);
        if (refusal != null) {
            resultForwarder.refuse(request, refusal, out);
        } else {
            scheduler.submit(request, out);
        }
    }

    private ResultCode refusal(EngineScheduler scheduler, long configurationNumber) {
        if (!context.readiness().mayDispatch()) {
            return ResultCode.NOT_READY;
        }
        if (scheduler == null) {
            return ResultCode.NO_HOLDER;
        }
        return configurationNumber > context.configuration().number()
                ? ResultCode.CONFIGURATION_BEHIND
                : null;
    }

    /** Cancels an attempt that runs or waits at any of the engines. */
    void cancel(String requestId, int attempt, Effects out) {
        for (EngineScheduler s : all()) {
            s.cancel(requestId, attempt, out);
        }
    }

    private List<EngineScheduler> all() {
        List<EngineScheduler> all = new ArrayList<>(active.values());
        all.addAll(retired);
        return all;
    }

    /**
     * Delivers an event to the scheduler that started the attempt or order.
     *
     * @param handler handles the event at a scheduler; returns false if that scheduler did not
     *     start the attempt or order
     */
    void deliver(Predicate<EngineScheduler> handler) {
        for (EngineScheduler s : all()) {
            if (handler.test(s)) {
                break;
            }
        }
        retired.removeIf(s -> s.inFlight() == 0);
    }

    void onReport(EngineReport report, Effects out) {
        EngineScheduler scheduler = active.get(report.engine());
        if (scheduler != null) {
            scheduler.onReport(report, out);
        }
    }

    void onCacheEvents(CacheEvents events) {
        EngineScheduler scheduler = active.get(events.engine());
        if (scheduler != null) {
            scheduler.onCacheEvents(events);
        }
    }

    void onReportFailed(String engine, Effects out) {
        EngineScheduler scheduler = active.get(engine);
        if (scheduler != null) {
            scheduler.onReportFailed(out);
        }
    }

    void onPermit(String engine, long sequence, Effects out) {
        EngineScheduler scheduler = active.get(engine);
        if (scheduler != null) {
            scheduler.onPermit(sequence, out);
        }
    }

    void onIntentAcknowledged(String resource, String handle, Effects out) {
        EngineScheduler scheduler = active.get(Resources.engineId(resource));
        if (scheduler != null) {
            scheduler.onIntentAcknowledged(handle, out);
        }
    }

    void onTick(Effects out) {
        all().forEach(s -> s.onTick(out));
        retired.removeIf(s -> s.inFlight() == 0);
    }

    /** Returns the schedulers of the leased engines by engine id; a live view. */
    Map<String, EngineScheduler> active() {
        return active;
    }

    /** Removes the scheduler of an engine whose lease was released. */
    void remove(String engine) {
        active.remove(engine);
    }

    /** Returns the number of requests that run or wait at all engines. */
    int inFlight() {
        return all().stream().mapToInt(EngineScheduler::inFlight).sum();
    }
}
