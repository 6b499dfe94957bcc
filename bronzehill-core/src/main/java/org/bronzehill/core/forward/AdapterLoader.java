package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.bronzehill.core.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * Orders that the claiming instance gives to one engine: it loads the adapters that requests wait
 * for, and makes room by unloading the one that was used least recently and is not in use.
 *
 * <p>Answers a load in which rare adapters are asked for at once: as many are fetched at a time as
 * the engine allows in parallel, and an adapter stays for a minimum time, so that a burst of rare
 * ones does not evict what has just arrived.
 */
final class AdapterLoader {

    private static final Logger LOG = Logger.getLogger(AdapterLoader.class);

    /** Adapters that an engine fetches at once. */
    static final int PARALLEL_LOADS = 4;

    /** Time between questions whether a load that should be over has ended. */
    private static final Duration RECHECK = Duration.ofMillis(12);

    /** Pause after the engine was busy or gave no answer. */
    private static final Duration RETRY = Duration.ofMillis(60);

    /** An adapter stays at least so long after its last use, so that waiting requests reach it. */
    private static final Duration MIN_STAY = Duration.ofMillis(500);

    /**
     * Time after taking over an engine in which orders of the instance before may not show in
     * reports: the lag of a report and the interval between two.
     */
    static final Duration TAKEOVER = Duration.ofMillis(1500);

    /** A report may be so old; what changed since is not taken from it. */
    private static final Duration REPORT_LAG = Duration.ofMillis(1000);

    private final UpstreamState upstream;
    private final OrderTransport transport;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final LongSupplier fencing;
    private final Listener listener;
    private final Map<AdapterRef, Slot> places = new HashMap<>();
    private final Map<AdapterRef, Long> removedAt = new HashMap<>();
    private final AdapterLoadQueue wanted;
    private final RecentAdapters heldBefore = new RecentAdapters();
    private final AdapterLoadTime loadTime;
    private Option<EngineSpec> engine = Option.none();
    private final long openedAt;
    private AdapterRef draining;
    private boolean orderOpen;
    private boolean down;
    private long quietUntil;

    /** Receives what becomes of the orders. */
    interface Listener {
        /** The adapter is held now. */
        void resident(UpstreamState upstream, AdapterRef adapter, int version);

        /** The adapter cannot be loaded. */
        void failed(UpstreamState upstream, AdapterRef adapter);

        /** Another upstream has the engine's address. */
        void misaddressed(UpstreamState upstream);

        /** No connection to the engine can be opened. */
        void unreachable(UpstreamState upstream);

        /** The engine has seen a higher fencing number. */
        void fenced(UpstreamState upstream);
    }

    private enum Phase {
        LOADING,
        HELD,
        UNLOADING
    }

    private static final class Slot {
        private int version;
        private Phase phase;
        private long changedAt;
        private long usedAt;
        private long checkAt;
        private boolean repeated;

        private Slot(int version, Phase phase, long now) {
            this.version = version;
            this.phase = phase;
            this.changedAt = now;
            this.usedAt = now;
            this.checkAt = now;
        }
    }

    /**
     * @param fencing fencing number of orders; negative if none may be given now
     * @param expectedLoad load time assumed until one was measured
     */
    AdapterLoader(
            UpstreamState upstream,
            OrderTransport transport,
            TimeSource time,
            Scheduler scheduler,
            LongSupplier fencing,
            Duration expectedLoad,
            Listener listener) {
        this.upstream = upstream;
        this.transport = transport;
        this.time = time;
        this.scheduler = scheduler;
        this.fencing = fencing;
        this.listener = listener;
        this.wanted = new AdapterLoadQueue(time);
        this.loadTime = new AdapterLoadTime(expectedLoad, PARALLEL_LOADS);
        this.quietUntil = time.nanoTime();
        this.openedAt = quietUntil;
    }

    /** Notes that requests wait for an adapter, and orders it if an order can be given now. */
    void want(AdapterRef adapter, int version, AdapterLoadQueue.LoadDemand waiting) {
        Slot place = places.get(adapter);
        if (down) {
            listener.unreachable(upstream);
        } else if (place != null && place.phase == Phase.HELD && place.version >= version) {
            place.usedAt = time.nanoTime();
            listener.resident(upstream, adapter, place.version);
        } else if (place == null || place.phase != Phase.LOADING || place.version < version) {
            wanted.add(adapter, version, waiting);
            publish();
            orderNext();
        }
    }

    /** Notes which adapters requests use now. */
    void onUse(AdapterRef adapter) {
        Slot place = places.get(adapter);
        if (place != null) {
            place.usedAt = time.nanoTime();
        }
    }

    /** Takes over a report, except for what changed more recently than the report may be old. */
    void onReport(EngineStatus status) {
        long now = time.nanoTime();
        down = false;
        upstream.setModels(status.models());
        status.adapters().forEach((a, v) -> merge(a, v, Phase.HELD, now));
        status.loading().forEach((a, v) -> merge(a, v, Phase.LOADING, now));
        places.entrySet()
                .removeIf(
                        e ->
                                isSettled(e.getValue(), now)
                                        && e.getValue().phase != Phase.UNLOADING
                                        && !status.adapters().containsKey(e.getKey())
                                        && !status.loading().containsKey(e.getKey()));
        publish();
    }

    private void merge(AdapterRef adapter, int version, Phase phase, long now) {
        Slot place = places.get(adapter);
        if (place == null) {
            if (phase == Phase.LOADING || !recentlyRemoved(adapter, now)) {
                places.put(adapter, new Slot(version, phase, now - REPORT_LAG.toNanos()));
            }
        } else if (isSettled(place, now) && place.phase != Phase.UNLOADING) {
            place.version = version;
            place.phase = phase;
        }
    }

    private boolean recentlyRemoved(AdapterRef adapter, long now) {
        removedAt.values().removeIf(at -> now - at > REPORT_LAG.toNanos());
        return removedAt.containsKey(adapter);
    }

    private static boolean isSettled(Slot place, long now) {
        return now - place.changedAt >= REPORT_LAG.toNanos();
    }

    /** Gives the next order, if one is due. */
    void onTick(Option<EngineSpec> spec) {
        engine = spec;
        orderNext();
    }

    private void orderNext() {
        if (orderOpen
                || engine.isEmpty()
                || fencing.getAsLong() < 0
                || time.nanoTime() - quietUntil < 0) {
            return;
        }
        if (checkLoads()) {
            return;
        }
        loadNext(engine.get());
    }

    /** Asks about a load that should be over, by ordering it again. */
    private boolean checkLoads() {
        long now = time.nanoTime();
        for (Map.Entry<AdapterRef, Slot> e : places.entrySet()) {
            Slot p = e.getValue();
            if (p.phase == Phase.LOADING && now - p.checkAt >= 0) {
                checkAfter(p, RECHECK);
                orderLoad(e.getKey(), p);
                return true;
            }
        }
        return false;
    }

    private void loadNext(EngineSpec engine) {
        Option<AdapterRef> next = wanted.next(loadTime.expected(false));
        if (next.isEmpty() || countLoading() >= loadTime.parallelLoads()) {
            return;
        }
        AdapterRef adapter = next.get();
        Option<ModelSpec> model = engine.model(adapter.model());
        if (model.isEmpty() || !upstream.holdsModel(adapter.model())) {
            wanted.remove(adapter);
            listener.failed(upstream, adapter);
            return;
        }
        Slot held = places.get(adapter);
        if (held == null && places.size() >= capacity(engine, model.get()) - unseenLoads()) {
            evictOne();
            return;
        }
        int version = wanted.version(adapter);
        wanted.remove(adapter);
        if (adapter.equals(draining)) {
            draining = null;
        }
        long now = time.nanoTime();
        Slot place = new Slot(version, Phase.LOADING, now);
        place.repeated = heldBefore.contains(adapter);
        places.put(adapter, place);
        checkAfter(place, loadTime.firstCheck(place.repeated));
        orderLoad(adapter, place);
    }

    private void checkAfter(Slot place, Duration delay) {
        place.checkAt = time.nanoTime() + delay.toNanos();
        scheduler.after(delay, this::orderNext);
    }

    /**
     * Returns the places that loads may occupy which the instance before has ordered and no report
     * shows yet.
     */
    private int unseenLoads() {
        return time.nanoTime() - openedAt < TAKEOVER.toNanos() ? 2 * PARALLEL_LOADS : 0;
    }

    private int countLoading() {
        return (int) places.values().stream().filter(p -> p.phase == Phase.LOADING).count();
    }

    /** Returns how many adapters fit beside the weights that the engine holds. */
    private int capacity(EngineSpec engine, ModelSpec model) {
        double weights = 0;
        for (String held : upstream.models()) {
            weights += engine.model(held).map(ModelSpec::weightsMb).getOrElse(0.0);
        }
        if (model.adapterMb() <= 0) {
            return engine.maxAdapters();
        }
        int byMemory = (int) Math.floor((engine.weightsMb() - weights) / model.adapterMb());
        return Math.max(0, Math.min(engine.maxAdapters(), byMemory));
    }

    /**
     * Unloads the adapter that was used least recently. One that turns out to be in use keeps its
     * place, and the engine busy, until its requests have ended; nothing else is unloaded
     * meanwhile.
     */
    private void evictOne() {
        long now = time.nanoTime();
        if (draining != null && places.containsKey(draining)) {
            orderUnload(draining, places.get(draining));
            return;
        }
        if (now - openedAt < TAKEOVER.toNanos()) {
            // The other instances may not have told yet which adapters they use here.
            pause();
            return;
        }
        AdapterRef victim = null;
        long oldest = now - MIN_STAY.toNanos();
        for (Map.Entry<AdapterRef, Slot> e : places.entrySet()) {
            Slot p = e.getValue();
            if (p.phase == Phase.HELD
                    && p.usedAt - oldest < 0
                    && !upstream.isUsed(e.getKey())
                    && !wanted.contains(e.getKey())) {
                victim = e.getKey();
                oldest = p.usedAt;
            }
        }
        if (victim == null) {
            pause();
            return;
        }
        orderUnload(victim, places.get(victim));
    }

    private void orderLoad(AdapterRef adapter, Slot place) {
        Order order = new Order(Order.Operation.LOAD, adapter, place.version, fencing.getAsLong());
        orderOpen = true;
        transport.order(upstream.upstream(), order, r -> onLoadReply(adapter, place, order, r));
    }

    /** Returns whether the last order found no way to the engine. */
    boolean isDown() {
        return down;
    }

    private void onLoadReply(AdapterRef adapter, Slot place, Order order, OrderReply reply) {
        orderOpen = false;
        down = false;
        log(order, reply);
        long now = time.nanoTime();
        switch (reply) {
            case ALREADY -> {
                if (place.phase == Phase.LOADING) {
                    Duration took = Duration.ofNanos(now - place.changedAt);
                    loadTime.onEnded(took, place.repeated);
                }
                heldBefore.add(adapter);
                place.phase = Phase.HELD;
                place.changedAt = now;
                place.usedAt = now;
                publish();
                listener.resident(upstream, adapter, place.version);
            }
            case ACCEPTED -> publish();
            case BUSY, UNKNOWN -> pause();
            case UNREACHABLE -> onUnreachable();
            case FENCED -> listener.fenced(upstream);
            case MISADDRESSED -> listener.misaddressed(upstream);
            default -> {
                places.remove(adapter);
                publish();
                listener.failed(upstream, adapter);
            }
        }
        orderNext();
    }

    private void orderUnload(AdapterRef adapter, Slot place) {
        place.phase = Phase.UNLOADING;
        place.changedAt = time.nanoTime();
        publish();
        Order order = new Order(Order.Operation.UNLOAD, adapter, 0, fencing.getAsLong());
        orderOpen = true;
        transport.order(
                upstream.upstream(),
                order,
                reply -> {
                    orderOpen = false;
                    down = false;
                    log(order, reply);
                    onUnloadReply(adapter, reply);
                });
    }

    private void onUnloadReply(AdapterRef adapter, OrderReply reply) {
        long now = time.nanoTime();
        switch (reply) {
            case ALREADY -> {
                places.remove(adapter);
                removedAt.put(adapter, now);
                draining = null;
            }
            case FENCED -> listener.fenced(upstream);
            case UNREACHABLE -> {
                places.get(adapter).phase = Phase.HELD;
                onUnreachable();
            }
            case BUSY -> {
                if (!adapter.equals(draining)) {
                    places.get(adapter).phase = Phase.HELD;
                }
                pause();
            }
            default -> {
                draining = adapter;
                pause();
            }
        }
        orderNext();
    }

    /** Gives up the wishes, so that the requests behind them go elsewhere. */
    private void onUnreachable() {
        down = true;
        wanted.clear();
        publish();
        listener.unreachable(upstream);
        pause();
    }

    private void pause() {
        quietUntil = time.nanoTime() + RETRY.toNanos();
        scheduler.after(RETRY, this::orderNext);
    }

    private void log(Order order, OrderReply reply) {
        LOG.infof(
                "event=order upstream=%s operation=%s adapter=%s version=%d fencing=%d reply=%s"
                        + " places=%d wanted=%d",
                upstream.id(),
                order.operation(),
                order.target().key(),
                order.version(),
                order.fencing(),
                reply,
                places.size(),
                wanted.size());
    }

    /** Makes the present places known to the choice of upstreams. */
    private void publish() {
        Map<AdapterRef, Integer> held = new HashMap<>();
        Map<AdapterRef, Integer> coming = new HashMap<>();
        places.forEach(
                (a, p) -> {
                    if (p.phase == Phase.HELD) {
                        held.put(a, p.version);
                    } else if (p.phase == Phase.LOADING) {
                        coming.put(a, p.version);
                    }
                });
        wanted.adapters().forEach(a -> coming.putIfAbsent(a, wanted.version(a)));
        upstream.setAdapters(held, coming);
    }

    /** Notes that the engine turned away a request for lack of the adapter. */
    void onMissing(AdapterRef adapter) {
        Slot place = places.get(adapter);
        if (place != null && place.phase == Phase.HELD) {
            // It may hold another version, so its place is not free; the next order tells.
            place.phase = Phase.LOADING;
            place.checkAt = time.nanoTime();
            publish();
        }
    }
}
