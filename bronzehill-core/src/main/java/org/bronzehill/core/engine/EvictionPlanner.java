package org.bronzehill.core.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.engine.AdapterHandle.Status;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;

/** Chooses handles to evict and carries out each eviction: first the intent, then the order. */
final class EvictionPlanner {

    private static final long INTENT_REPEAT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    /** Time without an answer after which the outcome of an order counts as unknown. */
    static final long ORDER_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

    /** Factor applied to the reload cost while the adapter is also resident on another engine. */
    private static final double REPLICATED_RELOAD_COST_FACTOR = 0.5;

    private final EngineState engine;
    private final HandleTable handles;
    private final Map<Long, AdapterHandle> orders = new HashMap<>();

    EvictionPlanner(EngineState engine, HandleTable handles) {
        this.engine = engine;
        this.handles = handles;
    }

    /** Returns the number of evictions in progress. */
    int inProgress() {
        int count = 0;
        for (AdapterHandle h : handles.all()) {
            count +=
                    h.status() == Status.INTENT_ANNOUNCED
                                    || h.status() == Status.EVICT_ORDERED
                                    || h.status() == Status.EVICT_UNKNOWN
                            ? 1
                            : 0;
        }
        return count;
    }

    /**
     * Returns the evictable handle of lowest value that {@code wanted} may replace, or null if
     * there is none.
     */
    AdapterHandle evictableFor(AdapterDemand wanted) {
        AdapterHandle evictable = null;
        double lowest = Double.MAX_VALUE;
        for (AdapterHandle h : handles.all()) {
            if (handles.mayEvict(h) && mayReplace(h, wanted)) {
                double value = value(h);
                if (value < lowest) {
                    lowest = value;
                    evictable = h;
                }
            }
        }
        return evictable;
    }

    /**
     * Returns the value of keeping a handle: its expected uses times the relative cost of loading
     * it again, plus the value of the requests that wait for it.
     */
    private double value(AdapterHandle h) {
        AdapterDemand demand = demandOf(h);
        if (demand == null) {
            return -1;
        }
        boolean replica =
                engine.context().placement().residentElsewhere(h.version(), engine.engineId()) > 0;
        return demand.expectedUses(engine.now()) * (replica ? REPLICATED_RELOAD_COST_FACTOR : 1)
                + waitingValue(demand);
    }

    private double waitingValue(AdapterDemand demand) {
        return demand.loadValue(engine.policy(), engine.now());
    }

    /**
     * Returns whether {@code wanted} may replace the handle. A handle with waiting requests is only
     * replaced for more than twice their value, which keeps two adapters from evicting each other
     * in turn. If no request more urgent than overnight waits for {@code wanted}, it does not
     * replace a handle with more expected uses than the number of requests that wait for {@code
     * wanted} or were recently refused, unless the earliest deadline of the waiting requests is
     * less than a minute away.
     */
    private boolean mayReplace(AdapterHandle h, AdapterDemand wanted) {
        AdapterDemand demand = demandOf(h);
        if (demand == null) {
            return true;
        }
        long now = engine.now();
        if (!demand.waiting().isEmpty()) {
            return wanted.loadValue(engine.policy(), now) > 2 * waitingValue(demand);
        }
        boolean overnight = wanted.urgency() == Urgency.OVERNIGHT;
        return !overnight
                || wanted.waiting().size() + wanted.refusedDemand(now) >= demand.expectedUses(now)
                || wanted.earliestDeadline(Long.MAX_VALUE) - now < Duration.ofMinutes(1).toNanos();
    }

    /**
     * Returns the demand served by the handle; null if new requests are not assigned to this
     * handle.
     */
    private AdapterDemand demandOf(AdapterHandle h) {
        AdapterDemand demand = h.version() == null ? null : engine.queue().find(h.version());
        return demand != null && demand.handle == h ? demand : null;
    }

    /** Starts the eviction of a handle; it gets no new requests from now on. */
    void begin(AdapterHandle h, Effects out) {
        setStatus(h, Status.INTENT_ANNOUNCED);
        handles.selectHandle(h.version());
        engine.context().leases().announceIntent(engine.lease().resource(), h.name(), out);
    }

    /** Sends the evict order for a handle whose intent a majority of the grantors has recorded. */
    void onIntentAcknowledged(String name, Effects out) {
        AdapterHandle h = handles.get(name);
        if (h != null && h.status() == Status.INTENT_ANNOUNCED && handles.mayOrderEviction(h)) {
            order(h, out);
        }
    }

    private void order(AdapterHandle h, Effects out) {
        if (!engine.holdsLease()) {
            return;
        }
        h.orderId = engine.nextId();
        setStatus(h, Status.EVICT_ORDERED);
        orders.put(h.orderId, h);
        AdapterVersion version = h.version() == null ? new AdapterVersion("", 0) : h.version();
        out.add(
                new Effect.OrderEngine(
                        h.orderId,
                        engine.engineId(),
                        OrderKind.EVICT,
                        h.name(),
                        version,
                        "",
                        engine.lease().fencing(),
                        ""));
    }

    /** Handles the outcome of an evict order; returns false if the order is unknown. */
    boolean onAnswered(long orderId, OrderOutcome outcome, Effects out) {
        AdapterHandle h = orders.remove(orderId);
        if (h == null) {
            return false;
        }
        if (handles.get(h.name()) != h || h.orderId != orderId) {
            return true;
        }
        h.orderId = 0;
        if (outcome == OrderOutcome.DONE || outcome == OrderOutcome.UNKNOWN_HANDLE) {
            handles.remove(h);
            finishIntent(h, out);
            out.add(new Effect.RecordMetric(CoreMetric.EVICTIONS, engine.engineId(), 1));
        } else {
            setStatus(h, Status.EVICT_UNKNOWN);
        }
        return true;
    }

    /** Closes the intent of a handle that is no longer on the engine. */
    void finishIntent(AdapterHandle h, Effects out) {
        engine.context().leases().finishIntent(engine.lease().resource(), h.name(), out);
    }

    /**
     * Repeats an evict order that was not carried out. Its intent is still recorded, so it is not
     * announced again.
     */
    void repeatOrder(AdapterHandle h, Effects out) {
        if (handles.mayOrderEviction(h)) {
            order(h, out);
        }
    }

    /**
     * Repeats unacknowledged intents, closes inherited intents whose handles have left the engine,
     * and treats the outcome of orders without a timely answer as unknown.
     */
    void onTick(Effects out) {
        long now = engine.now();
        for (String intent : handles.removeIntentsWithoutHandle()) {
            engine.context().leases().finishIntent(engine.lease().resource(), intent, out);
        }
        for (AdapterHandle h : List.copyOf(handles.all())) {
            if (h.status() == Status.INTENT_ANNOUNCED
                    && now - h.changedNanos >= INTENT_REPEAT_INTERVAL_NANOS
                    && engine.holdsLease()) {
                setStatus(h, Status.INTENT_ANNOUNCED);
                engine.context().leases().announceIntent(engine.lease().resource(), h.name(), out);
            } else if (h.status() == Status.EVICT_ORDERED
                    && now - h.changedNanos >= ORDER_TIMEOUT_NANOS) {
                onAnswered(h.orderId, OrderOutcome.UNKNOWN, out);
            }
        }
    }

    /**
     * Closes the intents for which no order was sent; called before a restart of the engine removes
     * their handles.
     */
    void onEngineRestart(Effects out) {
        for (AdapterHandle h : handles.all()) {
            if (h.status() == Status.INTENT_ANNOUNCED) {
                finishIntent(h, out);
            }
        }
    }

    private void setStatus(AdapterHandle h, Status status) {
        h.status(status, engine.now(), handles.reportsStaleUntilStamp());
    }
}
