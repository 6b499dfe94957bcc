package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.bronzehill.core.forward.AdapterSlot.Phase;
import org.bronzehill.core.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * Loads and unloads the adapters of one engine on which this instance holds the claim. It loads the
 * adapters that requests wait for, and frees a slot by unloading the least recently used adapter
 * that is not in use.
 *
 * <p>Requests for many rare adapters can arrive at once. As many loads run in parallel as the
 * engine allows, and an adapter stays loaded for a minimum time, so that a burst of rare adapters
 * does not evict those that have just been loaded.
 */
final class AdapterLoader {

    private static final Logger LOG = Logger.getLogger(AdapterLoader.class);

    /** Largest number of loads that an engine runs in parallel. */
    static final int MAX_PARALLEL_LOADS = 4;

    /** Interval between further checks whether a load has ended, after the first one. */
    private static final Duration LOAD_CHECK_INTERVAL = Duration.ofMillis(12);

    /** Delay before the next order after the engine was busy or did not answer. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);

    /**
     * Minimum time that an adapter stays loaded after its load and after each use. Instances report
     * a use when they assign a request, so this covers the time that such a report takes.
     */
    private static final Duration MIN_RESIDENCE = Duration.ofMillis(25);

    /**
     * Largest age of a report. Changes made here within this time take precedence over the report.
     */
    private static final Duration MAX_REPORT_LAG = Duration.ofMillis(1000);

    private final UpstreamState upstream;
    private final OrderTransport transport;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final LongSupplier fencing;
    private final Listener listener;
    private final Map<AdapterRef, AdapterSlot> adapterSlots = new HashMap<>();
    private final Map<AdapterRef, Long> removedAt = new HashMap<>();
    private final AdapterLoadQueue queue;
    private final RecentAdapters recentAdapters = new RecentAdapters();
    private final AdapterLoadTime loadTime;
    private Option<EngineSpec> engineSpec = Option.none();
    private final EngineTakeover takeover;
    private AdapterRef pendingUnload;
    private boolean orderInFlight;
    private boolean unreachable;
    private long nextOrderAt;

    /** Receives the results of orders. */
    interface Listener {
        /** The engine has loaded the adapter. */
        void onResident(UpstreamState upstream, AdapterRef adapter, int version);

        /** The engine cannot load the adapter. */
        void onLoadFailed(UpstreamState upstream, AdapterRef adapter);

        /** The engine's address now belongs to another upstream. */
        void onMisaddressed(UpstreamState upstream);

        /** No connection to the engine can be opened. */
        void onUnreachable(UpstreamState upstream);

        /** The engine has seen a higher fencing number than that of this instance. */
        void onFenced(UpstreamState upstream);
    }

    /**
     * @param fencing supplies the fencing number for orders; negative if no orders may be sent now
     * @param expectedLoadTime load time assumed until a load has been measured
     */
    AdapterLoader(
            UpstreamState upstream,
            OrderTransport transport,
            TimeSource time,
            Scheduler scheduler,
            LongSupplier fencing,
            Duration expectedLoadTime,
            Listener listener) {
        this.upstream = upstream;
        this.transport = transport;
        this.time = time;
        this.scheduler = scheduler;
        this.fencing = fencing;
        this.listener = listener;
        this.queue = new AdapterLoadQueue(time);
        this.loadTime = new AdapterLoadTime(expectedLoadTime, MAX_PARALLEL_LOADS);
        this.nextOrderAt = time.nanoTime();
        this.takeover = new EngineTakeover(time, MAX_PARALLEL_LOADS);
    }

    /** Queues an adapter that requests wait for, and sends an order if that is possible now. */
    void requestLoad(AdapterRef adapter, int version, AdapterLoadQueue.LoadDemand demand) {
        AdapterSlot slot = adapterSlots.get(adapter);
        if (unreachable) {
            listener.onUnreachable(upstream);
        } else if (slot != null && slot.phase == Phase.RESIDENT && slot.version >= version) {
            slot.usedAt = time.nanoTime();
            listener.onResident(upstream, adapter, slot.version);
        } else if (slot == null || slot.phase != Phase.LOADING || slot.version < version) {
            queue.add(adapter, version, demand);
            publishAdapters();
            sendNextOrder();
        }
    }

    /** Records that requests of an instance have begun or ceased to use the adapter. */
    void onUseChanged(AdapterRef adapter) {
        AdapterSlot slot = adapterSlots.get(adapter);
        if (slot != null) {
            slot.usedAt = time.nanoTime();
            publishIdleSlots();
            if (queue.size() > 0) {
                scheduler.after(MIN_RESIDENCE, this::sendNextOrder);
            }
        }
    }

    /**
     * Updates the slots from a report, except those that have changed within {@link
     * #MAX_REPORT_LAG}.
     */
    void onReport(InventoryReport report) {
        long now = time.nanoTime();
        unreachable = false;
        takeover.onReport(report);
        upstream.setModels(report.models());
        report.adapters().forEach((a, v) -> merge(a, v, Phase.RESIDENT, now));
        report.loading().forEach((a, v) -> merge(a, v, Phase.LOADING, now));
        adapterSlots
                .entrySet()
                .removeIf(
                        e ->
                                changedBeforeReport(e.getValue(), now)
                                        && e.getValue().phase != Phase.UNLOADING
                                        && !report.adapters().containsKey(e.getKey())
                                        && !report.loading().containsKey(e.getKey()));
        publishAdapters();
    }

    private void merge(AdapterRef adapter, int version, Phase phase, long now) {
        AdapterSlot slot = adapterSlots.get(adapter);
        if (slot == null) {
            // A report that is older than the removal may list the adapter as loading, too.
            if (!recentlyRemoved(adapter, now)) {
                adapterSlots.put(
                        adapter, new AdapterSlot(version, phase, now - MAX_REPORT_LAG.toNanos()));
            }
        } else if (changedBeforeReport(slot, now) && slot.phase != Phase.UNLOADING) {
            slot.version = version;
            slot.phase = phase;
        }
    }

    private boolean recentlyRemoved(AdapterRef adapter, long now) {
        removedAt.values().removeIf(at -> now - at > MAX_REPORT_LAG.toNanos());
        return removedAt.containsKey(adapter);
    }

    /** Returns whether the last change of the slot is older than any report received now. */
    private static boolean changedBeforeReport(AdapterSlot slot, long now) {
        return now - slot.changedAt >= MAX_REPORT_LAG.toNanos();
    }

    /** Returns the number of adapter slots that are known or taken to be occupied. */
    int occupiedSlots() {
        return adapterSlots.size();
    }

    /** Sends the next order, if one is due. */
    void onTick(Option<EngineSpec> spec) {
        engineSpec = spec;
        publishIdleSlots();
        sendNextOrder();
    }

    private void sendNextOrder() {
        if (orderInFlight
                || engineSpec.isEmpty()
                || fencing.getAsLong() < 0
                || time.nanoTime() - nextOrderAt < 0) {
            return;
        }
        if (checkLoadIfDue()) {
            return;
        }
        startNextLoad(engineSpec.get());
    }

    /**
     * Sends the order of a load again if its next check is due. The reply shows whether the load
     * has ended.
     */
    private boolean checkLoadIfDue() {
        long now = time.nanoTime();
        for (Map.Entry<AdapterRef, AdapterSlot> e : adapterSlots.entrySet()) {
            AdapterSlot slot = e.getValue();
            if (slot.phase == Phase.LOADING && now - slot.nextCheckAt >= 0) {
                scheduleCheck(slot, LOAD_CHECK_INTERVAL);
                sendLoad(e.getKey(), slot);
                return true;
            }
        }
        return false;
    }

    private void startNextLoad(EngineSpec engineSpec) {
        Option<AdapterRef> next = queue.next(loadTime.expected(false));
        if (next.isEmpty() || loadsInProgress() >= loadTime.maxParallelLoads()) {
            return;
        }
        AdapterRef adapter = next.get();
        Option<ModelSpec> model = engineSpec.model(adapter.model());
        if (model.isEmpty() || !upstream.holdsModel(adapter.model())) {
            queue.remove(adapter);
            listener.onLoadFailed(upstream, adapter);
            return;
        }
        AdapterSlot existing = adapterSlots.get(adapter);
        if (existing == null
                && adapterSlots.size()
                        >= capacity(engineSpec, model.get()) - takeover.reservedSlots()) {
            evictLeastRecentlyUsed();
            return;
        }
        int version = queue.version(adapter);
        queue.remove(adapter);
        if (adapter.equals(pendingUnload)) {
            pendingUnload = null;
        }
        long now = time.nanoTime();
        AdapterSlot slot = new AdapterSlot(version, Phase.LOADING, now);
        slot.reload = recentAdapters.contains(adapter);
        adapterSlots.put(adapter, slot);
        scheduleCheck(slot, loadTime.firstCheckDelay(slot.reload));
        sendLoad(adapter, slot);
    }

    private void scheduleCheck(AdapterSlot slot, Duration delay) {
        slot.nextCheckAt = time.nanoTime() + delay.toNanos();
        scheduler.after(delay, this::sendNextOrder);
    }

    private Order order(Order.Operation operation, AdapterRef adapter, int version) {
        long number = fencing.getAsLong();
        return new Order(operation, adapter, version, number, takeover.expectedOrders());
    }

    private int loadsInProgress() {
        return (int)
                adapterSlots.values().stream().filter(slot -> slot.phase == Phase.LOADING).count();
    }

    /** Returns how many adapters fit next to the base model weights that the engine holds. */
    private int capacity(EngineSpec engineSpec, ModelSpec model) {
        double weights = 0;
        for (String name : upstream.models()) {
            weights += engineSpec.model(name).map(ModelSpec::weightsMb).getOrElse(0.0);
        }
        if (model.adapterMb() <= 0) {
            return engineSpec.maxAdapters();
        }
        int byMemory = (int) Math.floor((engineSpec.modelMemoryMb() - weights) / model.adapterMb());
        return Math.max(0, Math.min(engineSpec.maxAdapters(), byMemory));
    }

    /**
     * Unloads the least recently used adapter, except those that are in use, requested, or within
     * {@link #MIN_RESIDENCE} of their last use. An engine that accepts the order unloads the
     * adapter once the requests that use it have ended; until then the order is repeated, and no
     * other adapter is unloaded.
     */
    private void evictLeastRecentlyUsed() {
        long now = time.nanoTime();
        if (pendingUnload != null && adapterSlots.containsKey(pendingUnload)) {
            sendUnload(pendingUnload, adapterSlots.get(pendingUnload));
            return;
        }
        if (!takeover.areUsesKnown()) {
            delayNextOrder();
            return;
        }
        AdapterRef victim = null;
        long oldest = now - MIN_RESIDENCE.toNanos();
        for (Map.Entry<AdapterRef, AdapterSlot> e : adapterSlots.entrySet()) {
            AdapterSlot slot = e.getValue();
            if (slot.phase == Phase.RESIDENT
                    && slot.usedAt - oldest <= 0
                    && !upstream.isUsed(e.getKey())
                    && !queue.contains(e.getKey())) {
                victim = e.getKey();
                oldest = slot.usedAt;
            }
        }
        if (victim != null) {
            sendUnload(victim, adapterSlots.get(victim));
        }
    }

    private void sendLoad(AdapterRef adapter, AdapterSlot slot) {
        Order order = order(Order.Operation.LOAD, adapter, slot.version);
        orderInFlight = true;
        transport.order(
                upstream.upstreamRecord(), order, r -> onLoadReply(adapter, slot, order, r));
    }

    /** Returns whether the engine could not be reached for the last order. */
    boolean isUnreachable() {
        return unreachable;
    }

    private void onLoadReply(AdapterRef adapter, AdapterSlot slot, Order order, OrderReply reply) {
        orderInFlight = false;
        unreachable = false;
        log(order, reply);
        if (takeover.onReply(order, reply)) {
            // Callers repeat the request for the load, which is ordered again after a new report.
            adapterSlots.remove(adapter);
            publishAdapters();
            delayNextOrder();
            return;
        }
        long now = time.nanoTime();
        switch (reply) {
            case ALREADY -> {
                if (slot.phase == Phase.LOADING) {
                    Duration took = Duration.ofNanos(now - slot.changedAt);
                    loadTime.onLoadCompleted(took, slot.reload);
                }
                recentAdapters.add(adapter);
                slot.phase = Phase.RESIDENT;
                slot.changedAt = now;
                slot.usedAt = now;
                publishAdapters();
                listener.onResident(upstream, adapter, slot.version);
            }
            case ACCEPTED -> publishAdapters();
            case BUSY, UNKNOWN -> delayNextOrder();
            case UNREACHABLE -> onUnreachable();
            case FENCED -> listener.onFenced(upstream);
            case MISADDRESSED -> listener.onMisaddressed(upstream);
            default -> {
                adapterSlots.remove(adapter);
                publishAdapters();
                listener.onLoadFailed(upstream, adapter);
            }
        }
        sendNextOrder();
    }

    private void sendUnload(AdapterRef adapter, AdapterSlot slot) {
        slot.phase = Phase.UNLOADING;
        slot.changedAt = time.nanoTime();
        publishAdapters();
        Order order = order(Order.Operation.UNLOAD, adapter, 0);
        orderInFlight = true;
        transport.order(
                upstream.upstreamRecord(),
                order,
                reply -> {
                    orderInFlight = false;
                    unreachable = false;
                    log(order, reply);
                    takeover.onReply(order, reply);
                    onUnloadReply(adapter, reply);
                });
    }

    private void onUnloadReply(AdapterRef adapter, OrderReply reply) {
        long now = time.nanoTime();
        switch (reply) {
            case ALREADY -> {
                adapterSlots.remove(adapter);
                removedAt.put(adapter, now);
                pendingUnload = null;
            }
            case FENCED -> listener.onFenced(upstream);
            case UNREACHABLE -> {
                adapterSlots.get(adapter).phase = Phase.RESIDENT;
                onUnreachable();
            }
            case BUSY -> {
                if (!adapter.equals(pendingUnload)) {
                    adapterSlots.get(adapter).phase = Phase.RESIDENT;
                }
                delayNextOrder();
            }
            default -> {
                pendingUnload = adapter;
                delayNextOrder();
            }
        }
        sendNextOrder();
    }

    /** Drops all queued loads, so that the requests waiting for them are sent to other engines. */
    private void onUnreachable() {
        unreachable = true;
        queue.clear();
        publishAdapters();
        listener.onUnreachable(upstream);
        delayNextOrder();
    }

    private void delayNextOrder() {
        nextOrderAt = time.nanoTime() + RETRY_DELAY.toNanos();
        scheduler.after(RETRY_DELAY, this::sendNextOrder);
    }

    /** Logs an order, with the adapter slots in use (places) and the queued loads (wanted). */
    private void log(Order order, OrderReply reply) {
        LOG.infof(
                "event=order upstream=%s operation=%s adapter=%s version=%d fencing=%d"
                        + " expected-orders=%s reply=%s places=%d wanted=%d",
                upstream.id(),
                order.operation(),
                order.target().key(),
                order.version(),
                order.fencing(),
                order.expectedOrders().map(String::valueOf).getOrElse("any"),
                reply,
                adapterSlots.size(),
                queue.size());
    }

    /**
     * Publishes how many slots can be given to further adapters: those that are empty or whose
     * adapter no request uses, less the loads that wait for a slot.
     */
    private void publishIdleSlots() {
        for (ModelSpec model : engineSpec.map(EngineSpec::models).getOrElse(List.of())) {
            if (upstream.holdsModel(model.name())) {
                long occupied =
                        adapterSlots.entrySet().stream()
                                .filter(e -> isOccupied(e.getKey(), e.getValue()))
                                .count();
                int free = capacity(engineSpec.get(), model) - (int) occupied;
                upstream.idleSlots().set(free - queue.size());
            }
        }
    }

    private boolean isOccupied(AdapterRef adapter, AdapterSlot slot) {
        return slot.phase != Phase.RESIDENT || upstream.isUsed(adapter);
    }

    /** Publishes the current adapters to {@link UpstreamState} for the choice of upstreams. */
    private void publishAdapters() {
        Map<AdapterRef, Integer> resident = new HashMap<>();
        Map<AdapterRef, Integer> loading = new HashMap<>();
        adapterSlots.forEach(
                (a, slot) -> {
                    if (slot.phase == Phase.RESIDENT) {
                        resident.put(a, slot.version);
                    } else if (slot.phase == Phase.LOADING) {
                        loading.put(a, slot.version);
                    }
                });
        queue.adapters().forEach(a -> loading.putIfAbsent(a, queue.version(a)));
        upstream.setAdapters(resident, loading);
        publishIdleSlots();
    }

    /** Handles a request that the engine refused because it lacks the adapter. */
    void onAdapterMissing(AdapterRef adapter) {
        AdapterSlot slot = adapterSlots.get(adapter);
        if (slot != null && slot.phase == Phase.RESIDENT) {
            // The engine may hold another version, so the slot is not free. The reply to the next
            // load order shows whether the engine holds the adapter.
            slot.phase = Phase.LOADING;
            slot.nextCheckAt = time.nanoTime();
            publishAdapters();
        }
    }
}
