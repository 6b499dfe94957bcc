package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.bronzehill.core.forward.AcceptedOrders.ReportState;
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

    private final UpstreamState upstream;
    private final OrderTransport transport;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final LongSupplier fencing;
    private final OrderListener listener;
    private final AdapterInventory inventory;
    private final AdapterLoadQueue queue;
    private final RecentAdapters recentAdapters = new RecentAdapters();
    private final AdapterLoadTime loadTime;
    private Option<EngineSpec> engineSpec = Option.none();
    private final EngineTakeover takeover;
    private final AcceptedOrders acceptedOrders;
    private AdapterRef pendingUnload;
    private boolean orderInFlight;
    private boolean released;
    private boolean unreachable;
    private long nextOrderAt;

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
            OrderListener listener) {
        this.upstream = upstream;
        this.transport = transport;
        this.time = time;
        this.scheduler = scheduler;
        this.fencing = fencing;
        this.listener = listener;
        this.inventory = new AdapterInventory(time);
        this.queue = new AdapterLoadQueue(time);
        this.loadTime = new AdapterLoadTime(expectedLoadTime, MAX_PARALLEL_LOADS);
        this.nextOrderAt = time.nanoTime();
        this.acceptedOrders = new AcceptedOrders(time);
        this.takeover = new EngineTakeover(time, MAX_PARALLEL_LOADS);
    }

    /** Queues an adapter that requests wait for, and sends an order if that is possible now. */
    void requestLoad(AdapterRef adapter, int version, AdapterLoadQueue.LoadDemand demand) {
        AdapterSlot slot = inventory.get(adapter);
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
        AdapterSlot slot = inventory.get(adapter);
        if (slot != null) {
            slot.usedAt = time.nanoTime();
            publishIdleSlots();
            if (queue.size() > 0) {
                scheduler.after(MIN_RESIDENCE, this::sendNextOrder);
            }
        }
    }

    /** Updates the slots from a report. */
    void onReport(InventoryReport report) {
        unreachable = false;
        upstream.setModels(report.models());
        ReportState state = acceptedOrders.onReport(report.acceptedOrders(), orderInFlight);
        inventory.apply(report, state);
        publishAdapters();
        if (acceptedOrders.hasForeign()) {
            LOG.infof(
                    "event=foreign-orders upstream=%s accepted-orders=%d",
                    upstream.id(), report.acceptedOrders().get());
            listener.onForeignOrders(upstream);
        }
    }

    /** Returns the number of adapter slots that are known or taken to be occupied. */
    int occupiedSlots() {
        return inventory.size();
    }

    /** Sends the next order, if one is due. */
    void onTick(Option<EngineSpec> spec) {
        engineSpec = spec;
        publishIdleSlots();
        sendNextOrder();
    }

    private void sendNextOrder() {
        if (released
                || orderInFlight
                || engineSpec.isEmpty()
                || acceptedOrders.isUnknown()
                || fencing.getAsLong() < 0
                || time.nanoTime() - nextOrderAt < 0) {
            return;
        }
        if (pendingUnload != null) {
            repeatPendingUnload();
        } else if (!checkLoadIfDue()) {
            startNextLoad(engineSpec.get());
        }
    }

    /**
     * Sends the order of the pending unload again, if further orders are due. An engine refuses
     * other orders until the requests that use the adapter have ended.
     */
    private void repeatPendingUnload() {
        queue.removeExpired();
        if (queue.size() > 0 || inventory.loadsInProgress() > 0) {
            sendUnload(pendingUnload, inventory.get(pendingUnload));
        }
    }

    /**
     * Sends the order of a load again if its next check is due. The reply shows whether the load
     * has ended.
     */
    private boolean checkLoadIfDue() {
        long now = time.nanoTime();
        for (Map.Entry<AdapterRef, AdapterSlot> e : inventory.slots().entrySet()) {
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
        if (next.isEmpty() || inventory.loadsInProgress() >= loadTime.maxParallelLoads()) {
            return;
        }
        AdapterRef adapter = next.get();
        Option<ModelSpec> model = engineSpec.model(adapter.model());
        if (model.isEmpty() || !upstream.holdsModel(adapter.model())) {
            queue.remove(adapter);
            listener.onLoadFailed(upstream, adapter);
            return;
        }
        AdapterSlot existing = inventory.get(adapter);
        if (existing == null
                && inventory.size() >= capacity(engineSpec, model.get()) - reservedSlots()) {
            evictLeastRecentlyUsed();
            return;
        }
        int version = queue.version(adapter);
        queue.remove(adapter);
        long now = time.nanoTime();
        AdapterSlot slot = new AdapterSlot(version, Phase.LOADING, now);
        slot.reload = recentAdapters.contains(adapter);
        inventory.put(adapter, slot);
        scheduleCheck(slot, loadTime.firstCheckDelay(slot.reload));
        sendLoad(adapter, slot);
    }

    private int reservedSlots() {
        return takeover.reservedSlots(acceptedOrders.expected().isDefined());
    }

    private void scheduleCheck(AdapterSlot slot, Duration delay) {
        slot.nextCheckAt = time.nanoTime() + delay.toNanos();
        scheduler.after(delay, this::sendNextOrder);
    }

    private Order order(Order.Operation operation, AdapterRef adapter, int version) {
        long number = fencing.getAsLong();
        return new Order(operation, adapter, version, number, acceptedOrders.expected());
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
     * adapter once the requests that use it have ended.
     */
    private void evictLeastRecentlyUsed() {
        if (!takeover.areUsesKnown()) {
            delayNextOrder();
            return;
        }
        inventory
                .leastRecentlyUsed(a -> !upstream.isUsed(a) && !queue.contains(a), MIN_RESIDENCE)
                .forEach(victim -> sendUnload(victim, inventory.get(victim)));
    }

    private void sendLoad(AdapterRef adapter, AdapterSlot slot) {
        Order order = order(Order.Operation.LOAD, adapter, slot.version);
        send(order, reply -> onLoadReply(adapter, slot, reply));
    }

    private void send(Order order, Consumer<OrderReply> onReply) {
        orderInFlight = true;
        transport.order(
                upstream.upstreamRecord(),
                order,
                reply -> {
                    log(order, reply);
                    if (!released) {
                        orderInFlight = false;
                        unreachable = false;
                        onAnyReply(reply);
                        onReply.accept(reply);
                    }
                });
    }

    private void onAnyReply(OrderReply reply) {
        switch (reply) {
            case ACCEPTED, ALREADY -> listener.onAccepted(upstream);
            case UNKNOWN -> acceptedOrders.onUnanswered();
            default -> {}
        }
    }

    /** Stops all orders, because this instance no longer controls the engine. */
    void release() {
        released = true;
    }

    /** Returns what is known of the orders that the engine has accepted. */
    AcceptedOrders acceptedOrders() {
        return acceptedOrders;
    }

    /** Returns whether the engine could not be reached for the last order. */
    boolean isUnreachable() {
        return unreachable;
    }

    private void onLoadReply(AdapterRef adapter, AdapterSlot slot, OrderReply reply) {
        long now = time.nanoTime();
        switch (reply) {
            case ALREADY -> {
                // Engines do not count an order that changes nothing.
                countOrder(slot, slot.unanswered);
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
            case ACCEPTED -> {
                countOrder(slot, true);
                publishAdapters();
            }
            case BUSY -> onLoadRefused(adapter, slot);
            case UNKNOWN -> {
                slot.unanswered = true;
                delayNextOrder();
            }
            case UNREACHABLE -> onUnreachable();
            case FENCED -> listener.onFenced(upstream);
            case MISADDRESSED -> listener.onMisaddressed(upstream);
            default -> {
                inventory.remove(adapter);
                publishAdapters();
                listener.onLoadFailed(upstream, adapter);
            }
        }
        sendNextOrder();
    }

    /** Counts the order of a slot once, although it may be sent and answered several times. */
    private void countOrder(AdapterSlot slot, boolean effective) {
        if (!slot.counted && effective) {
            acceptedOrders.onAccepted();
        }
        slot.counted = true;
    }

    /**
     * Handles a load that the engine refused because it is busy, or has accepted orders that are
     * not known here. Callers repeat the request for the load, which is ordered again once a report
     * has shown what the engine holds.
     */
    private void onLoadRefused(AdapterRef adapter, AdapterSlot slot) {
        acceptedOrders.onRefused();
        if (!slot.counted && !slot.unanswered && acceptedOrders.isUnknown()) {
            inventory.remove(adapter);
            publishAdapters();
        }
        delayNextOrder();
    }

    private void sendUnload(AdapterRef adapter, AdapterSlot slot) {
        slot.counted &= slot.phase == Phase.UNLOADING;
        slot.phase = Phase.UNLOADING;
        slot.changedAt = time.nanoTime();
        publishAdapters();
        Order order = order(Order.Operation.UNLOAD, adapter, 0);
        send(order, reply -> onUnloadReply(adapter, slot, reply));
    }

    private void onUnloadReply(AdapterRef adapter, AdapterSlot slot, OrderReply reply) {
        switch (reply) {
            case ALREADY -> {
                countOrder(slot, true);
                inventory.onUnloaded(adapter);
                pendingUnload = null;
            }
            case ACCEPTED -> {
                countOrder(slot, true);
                pendingUnload = adapter;
                delayNextOrder();
            }
            case FENCED -> listener.onFenced(upstream);
            case MISADDRESSED -> listener.onMisaddressed(upstream);
            case REJECTED -> {
                // The engine does not hold what it is taken to hold; the next report shows it.
                acceptedOrders.onRefused();
                pendingUnload = null;
                slot.phase = Phase.RESIDENT;
                delayNextOrder();
            }
            case UNREACHABLE -> {
                cancelUnload(adapter, slot);
                onUnreachable();
            }
            case BUSY -> {
                acceptedOrders.onRefused();
                cancelUnload(adapter, slot);
                delayNextOrder();
            }
            default -> {
                pendingUnload = adapter;
                delayNextOrder();
            }
        }
        sendNextOrder();
    }

    /** Keeps an adapter whose unload was not accepted, unless an earlier order may have been. */
    private void cancelUnload(AdapterRef adapter, AdapterSlot slot) {
        if (!adapter.equals(pendingUnload)) {
            slot.phase = Phase.RESIDENT;
        }
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
                inventory.size(),
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
                        inventory.slots().entrySet().stream()
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
        inventory
                .slots()
                .forEach(
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
        AdapterSlot slot = inventory.get(adapter);
        if (slot != null && slot.phase == Phase.RESIDENT) {
            // The engine may hold another version, so the slot is not free. The reply to the next
            // load order shows whether the engine holds the adapter.
            slot.phase = Phase.LOADING;
            slot.counted = false;
            slot.unanswered = false;
            slot.nextCheckAt = time.nanoTime();
            publishAdapters();
        }
    }
}
