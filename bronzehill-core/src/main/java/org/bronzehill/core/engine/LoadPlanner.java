package org.bronzehill.core.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.engine.AdapterDemand.Phase;
import org.bronzehill.core.engine.AdapterHandle.Status;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.protocol.generated.PermitRequest;

/** Decides which adapters an engine loads next, requests the permits and sends the load orders. */
final class LoadPlanner {

    /**
     * Maximum number of permit requests of one engine at a time. A small number leaves the order of
     * loads to this planner, which follows the current demand. Requests already sent are ordered by
     * the store budget, among those of all engines: by deadline first, and by value only among
     * close deadlines.
     */
    private static final int MAX_OUTSTANDING_PERMIT_REQUESTS = 4;

    /**
     * Maximum number of loads checked for a free or evictable slot in one step, to bound its run
     * time.
     */
    private static final int MAX_SLOT_CHECKS = 16;

    /**
     * Time after which an unused permit is returned; it must be shorter than the 5 s for which a
     * permit is valid.
     */
    private static final long PERMIT_RETURN_AFTER_NANOS = Duration.ofSeconds(4).toNanos();

    private static final long PERMIT_RETURNED_BACKOFF_NANOS = Duration.ofMillis(200).toNanos();
    private static final long REFUSED_BACKOFF_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Backoff after the first failed load. A permit request is also sent again if its deadline has
     * become earlier by more than this time.
     */
    private static final long FAILED_BACKOFF_NANOS = Duration.ofMillis(250).toNanos();

    private static final int MAX_BACKOFF_SHIFT = 5;

    /**
     * Number of consecutive failed loads after which the waiting requests are ended, because other
     * engines can serve them better.
     */
    static final int MAX_LOAD_FAILURES = 4;

    /**
     * Demand of refused requests at which an adapter is loaded although no request waits for it.
     */
    private static final double MIN_REFUSED_DEMAND = 0.5;

    /** Deadline assumed for a load for which no request waits. */
    private static final long NO_WAITER_DEADLINE_NANOS = Duration.ofSeconds(30).toNanos();

    /** Grid to which deadlines are rounded while not all of them can be met. */
    private static final long DEADLINE_GRID_MS = 5000;

    private final EngineState engine;
    private final HandleTable handles;
    private final EvictionPlanner evictions;
    private final Set<AdapterDemand> loadCandidates = new LinkedHashSet<>();

    /** Loads whose permit is requested or granted, by the sequence number of the request. */
    private final Map<Long, AdapterDemand> loadsByPermit = new HashMap<>();

    private final Map<Long, AdapterDemand> orders = new HashMap<>();
    private boolean overloaded;

    LoadPlanner(EngineState engine, HandleTable handles, EvictionPlanner evictions) {
        this.engine = engine;
        this.handles = handles;
        this.evictions = evictions;
    }

    /** Adds the adapter version to those considered when loads are planned. */
    void onDemandChanged(AdapterDemand demand) {
        loadCandidates.add(demand);
    }

    /**
     * Requests permits, withdraws requests that are no longer needed, and uses or returns granted
     * permits.
     */
    void plan(Effects out) {
        List<AdapterDemand> wanted = new ArrayList<>();
        for (AdapterDemand s : List.copyOf(loadCandidates)) {
            boolean needed = needsLoad(s);
            if (s.phase == Phase.PERMIT_GRANTED) {
                useOrReturn(s, needed, out);
            } else if (s.phase == Phase.PERMIT_REQUESTED && !needed) {
                withdraw(s, out);
            }
            boolean lacksPermit = s.phase == Phase.NONE || s.phase == Phase.PERMIT_REQUESTED;
            if (needed && lacksPermit && engine.now() >= s.loadNotBeforeNanos) {
                wanted.add(s);
            }
            if (s.phase == Phase.NONE && !needed && s.waiting().isEmpty()) {
                loadCandidates.remove(s);
            }
        }
        if (wanted.isEmpty() || !engine.holdsLease() || !handles.mayOrderLoads()) {
            return;
        }
        prioritize(wanted);
        requestPermits(wanted, out);
    }

    private boolean needsLoad(AdapterDemand s) {
        if (s.handle != null || !engine.acceptsWork()) {
            return false;
        }
        if (s.waiting().isEmpty()) {
            return !engine.draining && s.refusedDemand(engine.now()) >= MIN_REFUSED_DEMAND;
        }
        return GroupingPolicy.loadDue(
                s,
                engine.policy(),
                engine.batch(),
                engine.waitEstimator().storeIdle(engine.now()),
                engine.now());
    }

    /**
     * Sorts by deadline if all deadlines can be met at the expected rate of grants, otherwise by
     * value.
     */
    private void prioritize(List<AdapterDemand> wanted) {
        long now = engine.now();
        long defaultDeadline = now + NO_WAITER_DEADLINE_NANOS;
        wanted.sort(Comparator.comparingLong(s -> s.earliestDeadline(defaultDeadline)));
        double rate = engine.configuration().limits().storeLoadsPerSecond();
        boolean feasible = true;
        for (int i = 0; i < wanted.size() && feasible; i++) {
            long completion = now + engine.waitEstimator().loadWaitNanos(i, rate, now);
            feasible = completion <= wanted.get(i).earliestDeadline(defaultDeadline);
        }
        overloaded = !feasible;
        if (overloaded) {
            Map<AdapterDemand, Double> values = new HashMap<>();
            wanted.forEach(s -> values.put(s, s.loadValue(engine.policy(), now)));
            wanted.sort(Comparator.comparingDouble(s -> -values.get(s)));
        }
    }

    private void requestPermits(List<AdapterDemand> wanted, Effects out) {
        int room = Math.min(MAX_OUTSTANDING_PERMIT_REQUESTS, wanted.size());
        Set<AdapterDemand> kept = new LinkedHashSet<>();
        int free = handles.freeSlots() - count(Phase.PERMIT_GRANTED) + evictions.inProgress();
        int checks = 0;
        for (AdapterDemand s : wanted) {
            if (kept.size() >= room || ++checks > MAX_SLOT_CHECKS) {
                break;
            }
            if (s.phase == Phase.PERMIT_REQUESTED
                    || handles.get(ownHandleName(s)) == null
                            && (kept.size() < free || evictions.evictableFor(s) != null)) {
                kept.add(s);
            }
        }
        for (AdapterDemand s : wanted) {
            if (s.phase == Phase.PERMIT_REQUESTED && !kept.contains(s)) {
                withdraw(s, out);
            }
        }
        kept.forEach(s -> requestPermit(s, out));
    }

    private int count(Phase phase) {
        int count = 0;
        for (AdapterDemand s : loadCandidates) {
            count += s.phase == phase ? 1 : 0;
        }
        return count;
    }

    private void requestPermit(AdapterDemand s, Effects out) {
        long now = engine.now();
        long deadline =
                s.earliestDeadline(now + NO_WAITER_DEADLINE_NANOS)
                        - engine.waitEstimator().loadNanos();
        deadline = overloaded ? now + roundToGrid(deadline - now) : deadline;
        double value = s.loadValue(engine.policy(), now);
        if (s.phase == Phase.PERMIT_REQUESTED) {
            boolean sooner = deadline < s.requestedDeadlineNanos - FAILED_BACKOFF_NANOS;
            if (!sooner && value < 1.5 * s.requestedValue && value > 0.5 * s.requestedValue) {
                return;
            }
        } else {
            s.phase = Phase.PERMIT_REQUESTED;
            s.permitSequence = engine.nextId();
            s.permitRequestedNanos = now;
            loadsByPermit.put(s.permitSequence, s);
        }
        s.requestedDeadlineNanos = deadline;
        s.requestedValue = value;
        engine.context()
                .permits()
                .request(
                        PermitRequest.newBuilder()
                                .setEngine(engine.engineId())
                                .setAdapter(s.version().adapter())
                                .setVersion(s.version().version())
                                .setSequence(s.permitSequence)
                                .setDeadlineMs(Math.max(0, (deadline - now) / 1_000_000))
                                .setValue(value)
                                .build(),
                        out);
    }

    /**
     * Rounds the deadline down to a multiple of 5 s and returns the time left until it. Deadlines
     * in the same interval of 5 s thus count as equal at the store budget, where the value then
     * decides. The intervals are those of the wall clock, which all instances share.
     */
    private long roundToGrid(long leftNanos) {
        long wallMs = engine.context().time().millis();
        long deadlineMs = wallMs + Math.max(0, leftNanos / 1_000_000);
        return (deadlineMs / DEADLINE_GRID_MS * DEADLINE_GRID_MS - wallMs) * 1_000_000;
    }

    private void withdraw(AdapterDemand s, Effects out) {
        loadsByPermit.remove(s.permitSequence);
        s.phase = Phase.NONE;
        engine.context().permits().withdraw(engine.engineId(), s.permitSequence, out);
    }

    /** Returns the number of loads without a permit that are needed by {@code deadline}. */
    int loadsWithoutPermit(long deadline) {
        int count = 0;
        for (AdapterDemand s : loadCandidates) {
            boolean lacksPermit = s.phase == Phase.NONE || s.phase == Phase.PERMIT_REQUESTED;
            boolean ahead = s.earliestDeadline(Long.MAX_VALUE) <= deadline;
            count += lacksPermit && s.handle == null && ahead ? 1 : 0;
        }
        return count;
    }

    /** Handles a granted permit: uses it for its load or returns it. */
    void onPermit(long sequence, Effects out) {
        AdapterDemand s = loadsByPermit.get(sequence);
        if (s == null || s.phase != Phase.PERMIT_REQUESTED) {
            engine.context().permits().returnPermit(engine.engineId(), sequence, false, out);
            return;
        }
        long now = engine.now();
        engine.waitEstimator()
                .recordGrant(now - s.permitRequestedNanos, count(Phase.PERMIT_REQUESTED) > 1, now);
        s.phase = Phase.PERMIT_GRANTED;
        s.permitGrantedNanos = now;
        plan(out);
    }

    private void useOrReturn(AdapterDemand s, boolean needed, Effects out) {
        long now = engine.now();
        if (!needed
                || !engine.holdsLease()
                || now - s.permitGrantedNanos > PERMIT_RETURN_AFTER_NANOS) {
            returnPermit(s, false, out);
            s.loadNotBeforeNanos = now + PERMIT_RETURNED_BACKOFF_NANOS;
            return;
        }
        if (handles.get(ownHandleName(s)) != null) {
            return;
        }
        if (handles.freeSlots() > 0) {
            order(s, out);
            return;
        }
        if (count(Phase.PERMIT_GRANTED) > evictions.inProgress()) {
            AdapterHandle evictable = evictions.evictableFor(s);
            if (evictable != null) {
                evictions.begin(evictable, out);
            } else if (evictions.inProgress() == 0) {
                returnPermit(s, false, out);
                s.loadNotBeforeNanos = now + PERMIT_RETURNED_BACKOFF_NANOS;
            }
        }
    }

    private void returnPermit(AdapterDemand s, boolean used, Effects out) {
        loadsByPermit.remove(s.permitSequence);
        s.phase = Phase.NONE;
        engine.context().permits().returnPermit(engine.engineId(), s.permitSequence, used, out);
    }

    private void order(AdapterDemand s, Effects out) {
        AdapterHandle h = handles.add(ownHandleName(s), Status.LOADING);
        h.orderId = engine.nextId();
        s.phase = Phase.LOAD_ORDERED;
        orders.put(h.orderId, s);
        out.add(
                new Effect.OrderEngine(
                        h.orderId,
                        engine.engineId(),
                        OrderKind.LOAD,
                        h.name(),
                        s.version(),
                        s.weightsLocation,
                        engine.lease().fencing(),
                        ""));
        out.add(new Effect.RecordMetric(CoreMetric.LOADS, engine.engineId(), 1));
    }

    /** Handles the outcome of a load order; returns false if the order is unknown. */
    boolean onAnswered(long orderId, OrderOutcome outcome, Effects out) {
        AdapterDemand s = orders.remove(orderId);
        if (s == null) {
            return false;
        }
        AdapterHandle h = handles.get(ownHandleName(s));
        if (h == null || h.orderId != orderId) {
            return true;
        }
        h.orderId = 0;
        boolean refused = outcome == OrderOutcome.FULL || outcome == OrderOutcome.FENCED;
        returnPermit(s, !refused, out);
        switch (outcome) {
            case DONE -> {
                engine.waitEstimator().recordLoadTime(engine.now() - h.changedNanos);
                h.status(Status.RESIDENT, engine.now(), handles.reportsStaleUntilStamp());
                onResident(h);
            }
            case UNKNOWN -> {
                h.status(Status.LOAD_UNKNOWN, engine.now(), handles.reportsStaleUntilStamp());
                s.phase = Phase.LOAD_UNKNOWN;
            }
            case FULL, FENCED -> {
                handles.remove(h);
                s.loadNotBeforeNanos = engine.now() + REFUSED_BACKOFF_NANOS;
            }
            default -> {
                handles.remove(h);
                recordFailure(s, out);
            }
        }
        return true;
    }

    /**
     * Updates the demand of an adapter whose handle has become resident, according to an answer or
     * a report.
     */
    void onResident(AdapterHandle h) {
        AdapterDemand s = h.version() == null ? null : engine.queue().find(h.version());
        if (s != null) {
            s.loadFailures = 0;
            s.recordUse(s.refusedDemand(engine.now()), engine.now());
            if (s.phase == Phase.LOAD_UNKNOWN) {
                s.phase = Phase.NONE;
            }
            handles.selectHandle(h.version());
        }
    }

    /**
     * Handles a load whose answer was lost and which the reports do not show: it counts as failed.
     */
    void onLoadNotSeen(AdapterHandle h, Effects out) {
        AdapterDemand s = engine.queue().find(h.version());
        if (s != null && s.phase == Phase.LOAD_UNKNOWN) {
            s.phase = Phase.NONE;
            recordFailure(s, out);
        }
    }

    private void recordFailure(AdapterDemand s, Effects out) {
        int shift = Math.min(s.loadFailures++, MAX_BACKOFF_SHIFT);
        s.loadNotBeforeNanos = engine.now() + (FAILED_BACKOFF_NANOS << shift);
        onDemandChanged(s);
        out.add(new Effect.RecordMetric(CoreMetric.LOAD_FAILURES, engine.engineId(), 1));
    }

    /** Treats the outcome of load orders without a timely answer as unknown. */
    void onTick(Effects out) {
        long now = engine.now();
        for (AdapterHandle h : List.copyOf(handles.all())) {
            if (h.status() == Status.LOADING
                    && h.orderId != 0
                    && now - h.changedNanos >= EvictionPlanner.ORDER_TIMEOUT_NANOS) {
                onAnswered(h.orderId, OrderOutcome.UNKNOWN, out);
            }
        }
    }

    /**
     * Resets the loads in progress after a restart of the engine; permits that are not yet used are
     * kept.
     */
    void onEngineRestart(Effects out) {
        orders.clear();
        for (AdapterDemand s : engine.queue().adapters()) {
            if (s.phase == Phase.LOAD_ORDERED) {
                returnPermit(s, true, out);
            } else if (s.phase == Phase.LOAD_UNKNOWN) {
                s.phase = Phase.NONE;
            }
            if (!s.waiting().isEmpty()) {
                onDemandChanged(s);
            }
        }
    }

    /** Withdraws all permit requests and returns all unused permits. */
    void releasePermits(Effects out) {
        for (AdapterDemand s : List.copyOf(loadCandidates)) {
            if (s.phase == Phase.PERMIT_REQUESTED) {
                withdraw(s, out);
            } else if (s.phase == Phase.PERMIT_GRANTED) {
                returnPermit(s, false, out);
            }
        }
    }

    private String ownHandleName(AdapterDemand s) {
        return s.version().handle(engine.lease().fencing());
    }
}
