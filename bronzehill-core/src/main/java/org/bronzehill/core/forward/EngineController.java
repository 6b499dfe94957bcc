package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * Controls the engines on which this instance holds the claim: reads their reports, loads model
 * weights, and runs an {@link AdapterLoader} for each of them.
 */
final class EngineController {

    private static final Logger LOG = Logger.getLogger(EngineController.class);

    /**
     * Interval between reports of an engine in normal operation. Every report takes a request to
     * the engine, so reports are read rarely.
     */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(2000);

    /**
     * Interval between reports of an engine that holds no weights yet, was just taken over, or
     * cannot be reached.
     */
    private static final Duration SHORT_REPORT_INTERVAL = Duration.ofMillis(300);

    /**
     * Interval between reports of an engine that gets no orders until a report has shown what it
     * holds. Contents of reports are some hundred ms old, so a shorter interval gains nothing.
     */
    private static final Duration RECOVERY_REPORT_INTERVAL = Duration.ofMillis(100);

    /** Interval between reports of an engine on which no instance holds a claim. */
    private static final Duration UNCLAIMED_REPORT_INTERVAL = Duration.ofMillis(1500);

    /** Interval between reports of an engine that is observed for orders of an unknown instance. */
    private static final Duration OBSERVATION_INTERVAL = Duration.ofMillis(1000);

    private final Membership membership;
    private final OrderTransport transport;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final OrderClaims claims;
    private final OrderListener listener;
    private final Duration expectedLoadTime;
    private final Map<String, ControlledEngine> controlled = new HashMap<>();
    private final Map<UpstreamState, Long> unclaimedReadAt = new WeakHashMap<>();
    private long nextWeightLoadAt;

    private static final class ControlledEngine {
        private final UpstreamState upstream;
        private final AdapterLoader loader;
        private final long takenOverAt;
        private long nextReportAt;
        private long lastReportAt;
        private boolean reportInFlight;
        private boolean hasReport;
        private boolean weightLoadInFlight;

        private ControlledEngine(UpstreamState upstream, AdapterLoader loader, long now) {
            this.upstream = upstream;
            this.loader = loader;
            this.nextReportAt = now;
            this.lastReportAt = now;
            this.takenOverAt = now;
        }
    }

    EngineController(
            Membership membership,
            ForwardSettings settings,
            OrderTransport transport,
            TimeSource time,
            Scheduler scheduler,
            Duration expectedLoadTime,
            OrderListener listener) {
        this.membership = membership;
        this.transport = transport;
        this.time = time;
        this.scheduler = scheduler;
        this.expectedLoadTime = expectedLoadTime;
        this.listener = listener;
        this.claims = new OrderClaims(membership, settings, time);
        this.nextWeightLoadAt = time.nanoTime();
    }

    OrderClaims claims() {
        return claims;
    }

    /**
     * Updates the claims and sends the orders that are due.
     *
     * @param readUnclaimed whether to read reports of engines without a claim holder, because calls
     *     need to know which adapters these engines hold
     */
    void onTick(Map<UpstreamState, EngineSpec> engines, boolean readUnclaimed) {
        Set<String> ids = new HashSet<>();
        engines.keySet().forEach(u -> ids.add(u.id()));
        claims.onTick(ids);
        List.copyOf(controlled.values()).stream()
                .filter(
                        engine ->
                                !claims.holds(engine.upstream.id())
                                        || !engines.containsKey(engine.upstream))
                .forEach(this::release);
        engines.forEach(
                (u, spec) -> {
                    boolean observed = claims.isObserved(u.id());
                    if ((observed || readUnclaimed) && claims.holder(u.id()).isEmpty()) {
                        readUnclaimedReport(
                                u, observed ? OBSERVATION_INTERVAL : UNCLAIMED_REPORT_INTERVAL);
                    }
                    if (claims.holds(u.id())) {
                        control(
                                controlled.computeIfAbsent(u.id(), id -> takeOver(u)),
                                spec,
                                engines);
                    }
                });
    }

    /**
     * Reads the report of an engine that has no claim holder, for example after a start. Otherwise
     * the claim holder reads it and sends the inventory to the other instances.
     */
    private void readUnclaimedReport(UpstreamState u, Duration interval) {
        long now = time.nanoTime();
        if (now - unclaimedReadAt.getOrDefault(u, now - interval.toNanos()) >= interval.toNanos()) {
            unclaimedReadAt.put(u, now);
            transport.readReport(
                    u.upstreamRecord(),
                    report ->
                            report.forEach(
                                    s -> {
                                        checkStart(u, s);
                                        u.setModels(s.models());
                                        u.setAdapters(s.adapters(), s.loading());
                                        claims.onUnclaimedReport(u.id(), s);
                                    }));
        }
    }

    /** A report may come before the record that an engine writes after it was started again. */
    private static void checkStart(UpstreamState engine, InventoryReport report) {
        if (engine.isOfLaterStart(report) && engine.incarnation().isCertain()) {
            engine.onLaterStart();
        }
    }

    private ControlledEngine takeOver(UpstreamState u) {
        AdapterLoader loader =
                new AdapterLoader(
                        u,
                        transport,
                        time,
                        scheduler,
                        () -> claims.fencing(u.id()).getOrElse(-1L),
                        expectedLoadTime,
                        listener);
        claims.takeAcceptedAtClaim(u.id()).forEach(n -> loader.acceptedOrders().startAt(n));
        return new ControlledEngine(u, loader, time.nanoTime());
    }

    private void control(
            ControlledEngine engine, EngineSpec spec, Map<UpstreamState, EngineSpec> engines) {
        if (claims.fencing(engine.upstream.id()).isEmpty()) {
            return;
        }
        long now = time.nanoTime();
        if (!engine.reportInFlight && isReportDue(engine, now)) {
            readReport(engine, spec);
        }
        if (!engine.hasReport) {
            return;
        }
        if (engine.upstream.models().isEmpty()) {
            loadWeights(engine, spec, engines);
        }
        engine.loader.onTick(Option.of(spec));
    }

    private static boolean isReportDue(ControlledEngine engine, long now) {
        return now - engine.nextReportAt >= 0
                || (engine.loader.acceptedOrders().isUnknown()
                        && now - engine.lastReportAt >= RECOVERY_REPORT_INTERVAL.toNanos());
    }

    private void readReport(ControlledEngine engine, EngineSpec spec) {
        engine.reportInFlight = true;
        long askedAt = time.nanoTime();
        transport.readReport(
                engine.upstream.upstreamRecord(),
                report -> {
                    engine.reportInFlight = false;
                    boolean soon =
                            engine.loader.isUnreachable()
                                    || engine.upstream.models().isEmpty()
                                    || time.nanoTime() - engine.takenOverAt
                                            < EngineTakeover.REPORT_LAG.toNanos();
                    Duration interval = soon ? SHORT_REPORT_INTERVAL : REPORT_INTERVAL;
                    engine.lastReportAt = time.nanoTime();
                    engine.nextReportAt = engine.lastReportAt + interval.toNanos();
                    report.forEach(
                            s -> {
                                engine.hasReport = true;
                                checkStart(engine.upstream, s);
                                engine.loader.onReport(s);
                                logReport(engine, s, askedAt);
                                engine.loader.onTick(Option.of(spec));
                            });
                });
    }

    /** Logs a report, with the adapter slots in use (places) after it has been applied. */
    private void logReport(ControlledEngine engine, InventoryReport report, long askedAt) {
        LOG.infof(
                "event=report upstream=%s took-ms=%d accepted-orders=%s resident=%d loading=%d"
                        + " places=%d",
                engine.upstream.id(),
                Duration.ofNanos(time.nanoTime() - askedAt).toMillis(),
                report.acceptedOrders().map(String::valueOf).getOrElse("unknown"),
                report.adapters().size(),
                report.loading().size(),
                engine.loader.occupiedSlots());
    }

    /**
     * Loads the model that the fewest engines hold. The rate of these loads is limited by the
     * weight store.
     */
    private void loadWeights(
            ControlledEngine engine, EngineSpec spec, Map<UpstreamState, EngineSpec> engines) {
        long now = time.nanoTime();
        if (engine.weightLoadInFlight
                || engine.loader.acceptedOrders().isUnknown()
                || engine.upstream.isLeaving()
                || now - nextWeightLoadAt < 0) {
            return;
        }
        Option<ModelSpec> model =
                Option.ofOptional(
                        spec.models().stream()
                                .filter(m -> m.weightsMb() <= spec.modelMemoryMb())
                                .min(Comparator.comparingLong(m -> countHolders(m, engines))));
        if (model.isEmpty()) {
            return;
        }
        int instances = Math.max(1, membership.live().size());
        double gap = instances / Math.max(spec.loadsPerSecond(), 0.1);
        nextWeightLoadAt = now + (long) (gap * 1e9);
        engine.weightLoadInFlight = true;
        Order order =
                new Order(
                        Order.Operation.LOAD,
                        new AdapterRef(model.get().name(), ""),
                        0,
                        claims.fencing(engine.upstream.id()).get(),
                        engine.loader.acceptedOrders().expected());
        engine.loader.acceptedOrders().onUncountedOrder();
        transport.order(
                engine.upstream.upstreamRecord(),
                order,
                reply -> {
                    engine.weightLoadInFlight = false;
                    // The loader does not count this order.
                    engine.loader.acceptedOrders().onMismatch();
                    engine.nextReportAt = time.nanoTime() + SHORT_REPORT_INTERVAL.toNanos();
                    LOG.infof(
                            "event=order upstream=%s operation=LOAD model=%s fencing=%d reply=%s",
                            engine.upstream.id(), model.get().name(), order.fencing(), reply);
                    if (reply == OrderReply.FENCED) {
                        listener.onFenced(engine.upstream);
                    } else if (reply == OrderReply.UNKNOWN) {
                        engine.loader.acceptedOrders().onUnanswered();
                    } else if (reply == OrderReply.ACCEPTED) {
                        listener.onAccepted(engine.upstream);
                    }
                });
    }

    private static long countHolders(ModelSpec model, Map<UpstreamState, EngineSpec> engines) {
        return engines.keySet().stream().filter(u -> u.holdsModel(model.name())).count();
    }

    /** Returns the adapter loader of an engine on which this instance holds the claim. */
    Option<AdapterLoader> loader(String upstream) {
        return Option.of(controlled.get(upstream)).map(engine -> engine.loader);
    }

    /** Returns whether this instance controls the engine and has read a report of it. */
    boolean hasReport(UpstreamState upstream) {
        ControlledEngine engine = controlled.get(upstream.id());
        return engine != null && engine.upstream == upstream && engine.hasReport;
    }

    /** Stops controlling an engine that was removed or has restarted. */
    void release(UpstreamState upstream) {
        ControlledEngine engine = controlled.get(upstream.id());
        if (engine != null && engine.upstream == upstream) {
            release(engine);
        }
    }

    /** Stops the loader, whose timers and replies would go on beside those of its successor. */
    private void release(ControlledEngine engine) {
        engine.loader.release();
        controlled.remove(engine.upstream.id());
    }
}
