package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.time.TimeSource;
import org.jboss.logging.Logger;

/** Everything that this instance does for the engines to which it gives orders. */
final class EngineController {

    private static final Logger LOG = Logger.getLogger(EngineController.class);

    /** Interval between reports of an engine while nothing is loaded; each report has a price. */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(2000);

    /** Interval between reports of an engine that holds no weights yet, or was just taken over. */
    private static final Duration SHORT_REPORT_INTERVAL = Duration.ofMillis(300);

    /** Interval between looks at an engine that nobody gives orders to. */
    private static final Duration UNCLAIMED_REPORT_INTERVAL = Duration.ofMillis(1500);

    private final Membership membership;
    private final OrderTransport transport;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final OrderClaims claims;
    private final AdapterLoader.Listener listener;
    private final Duration expectedLoad;
    private final Map<String, ControlledEngine> controlled = new HashMap<>();
    private final Map<UpstreamState, Long> unclaimedReadAt = new WeakHashMap<>();
    private long nextWeightLoadAt;

    private static final class ControlledEngine {
        private final UpstreamState upstream;
        private final AdapterLoader loader;
        private final long takenOverAt;
        private long nextReportAt;
        private boolean reportInFlight;
        private boolean hasReport;
        private boolean weightLoadInFlight;

        private ControlledEngine(UpstreamState upstream, AdapterLoader loader, long now) {
            this.upstream = upstream;
            this.loader = loader;
            this.nextReportAt = now;
            this.takenOverAt = now;
        }
    }

    EngineController(
            Membership membership,
            ForwardSettings settings,
            OrderTransport transport,
            TimeSource time,
            Scheduler scheduler,
            Duration expectedLoad,
            AdapterLoader.Listener listener) {
        this.membership = membership;
        this.transport = transport;
        this.time = time;
        this.scheduler = scheduler;
        this.expectedLoad = expectedLoad;
        this.listener = listener;
        this.claims = new OrderClaims(membership, settings, time);
        this.nextWeightLoadAt = time.nanoTime();
    }

    OrderClaims claims() {
        return claims;
    }

    /**
     * Gives the orders that are due.
     *
     * @param needed whether requests need to know what engines hold that nobody gives orders to
     */
    void onTick(Map<UpstreamState, EngineSpec> engines, boolean needed) {
        Set<String> ids = new HashSet<>();
        engines.keySet().forEach(u -> ids.add(u.id()));
        claims.onTick(ids);
        controlled
                .values()
                .removeIf(
                        engine ->
                                !claims.holds(engine.upstream.id())
                                        || !engines.containsKey(engine.upstream));
        engines.forEach(
                (u, spec) -> {
                    if (needed && claims.holder(u.id()).isEmpty()) {
                        readUnclaimedReport(u);
                    }
                    if (claims.holds(u.id())) {
                        control(
                                controlled.computeIfAbsent(u.id(), id -> takeOver(u)),
                                spec,
                                engines);
                    }
                });
    }

    /** Reads the report of an engine of which no instance tells what it holds, as after a start. */
    private void readUnclaimedReport(UpstreamState u) {
        long now = time.nanoTime();
        if (now - unclaimedReadAt.getOrDefault(u, now - UNCLAIMED_REPORT_INTERVAL.toNanos())
                >= UNCLAIMED_REPORT_INTERVAL.toNanos()) {
            unclaimedReadAt.put(u, now);
            transport.report(
                    u.upstream(),
                    status ->
                            status.forEach(
                                    s -> {
                                        u.setModels(s.models());
                                        u.setAdapters(s.adapters(), s.loading());
                                    }));
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
                        expectedLoad,
                        listener);
        return new ControlledEngine(u, loader, time.nanoTime());
    }

    private void control(
            ControlledEngine engine, EngineSpec spec, Map<UpstreamState, EngineSpec> engines) {
        if (claims.fencing(engine.upstream.id()).isEmpty()) {
            return;
        }
        long now = time.nanoTime();
        if (!engine.reportInFlight && now - engine.nextReportAt >= 0) {
            readReport(engine);
        }
        if (!engine.hasReport) {
            return;
        }
        if (engine.upstream.models().isEmpty()) {
            loadWeights(engine, spec, engines);
        }
        engine.loader.onTick(Option.of(spec));
    }

    private void readReport(ControlledEngine engine) {
        engine.reportInFlight = true;
        transport.report(
                engine.upstream.upstream(),
                status -> {
                    engine.reportInFlight = false;
                    boolean soon =
                            engine.loader.isUnreachable()
                                    || engine.upstream.models().isEmpty()
                                    || time.nanoTime() - engine.takenOverAt
                                            < AdapterLoader.TAKEOVER_SETTLE_TIME.toNanos();
                    Duration interval = soon ? SHORT_REPORT_INTERVAL : REPORT_INTERVAL;
                    engine.nextReportAt = time.nanoTime() + interval.toNanos();
                    status.forEach(
                            s -> {
                                engine.hasReport = true;
                                engine.loader.onReport(s);
                            });
                });
    }

    /** Orders the model that the fewest engines hold; the weight store bounds the rate. */
    private void loadWeights(
            ControlledEngine engine, EngineSpec spec, Map<UpstreamState, EngineSpec> engines) {
        long now = time.nanoTime();
        if (engine.weightLoadInFlight
                || engine.upstream.upstream().draining()
                || now - nextWeightLoadAt < 0) {
            return;
        }
        Option<ModelSpec> model =
                Option.ofOptional(
                        spec.models().stream()
                                .filter(m -> m.weightsMb() <= spec.weightsMb())
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
                        claims.fencing(engine.upstream.id()).get());
        transport.order(
                engine.upstream.upstream(),
                order,
                reply -> {
                    engine.weightLoadInFlight = false;
                    engine.nextReportAt = time.nanoTime() + SHORT_REPORT_INTERVAL.toNanos();
                    LOG.infof(
                            "event=order upstream=%s operation=LOAD model=%s fencing=%d reply=%s",
                            engine.upstream.id(), model.get().name(), order.fencing(), reply);
                    if (reply == OrderReply.FENCED) {
                        listener.onFenced(engine.upstream);
                    }
                });
    }

    private static long countHolders(ModelSpec model, Map<UpstreamState, EngineSpec> engines) {
        return engines.keySet().stream().filter(u -> u.holdsModel(model.name())).count();
    }

    /** Returns the desk of an engine that this instance gives orders to. */
    Option<AdapterLoader> loader(String upstream) {
        return Option.of(controlled.get(upstream)).map(engine -> engine.loader);
    }

    /** Returns whether this instance gives orders to the engine and has read a report of it. */
    boolean hasReport(UpstreamState upstream) {
        ControlledEngine engine = controlled.get(upstream.id());
        return engine != null && engine.upstream == upstream && engine.hasReport;
    }

    /** Ends the work for an engine that is gone or has restarted. */
    void release(UpstreamState upstream) {
        ControlledEngine engine = controlled.get(upstream.id());
        if (engine != null && engine.upstream == upstream) {
            controlled.remove(upstream.id());
        }
    }
}
