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
    private static final Duration EMPTY_REPORT_INTERVAL = Duration.ofMillis(300);

    /** Interval between looks at an engine that nobody gives orders to. */
    private static final Duration LOOK_INTERVAL = Duration.ofMillis(1500);

    private final Membership membership;
    private final OrderTransport transport;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final OrderClaims claims;
    private final AdapterLoader.Listener listener;
    private final Duration expectedLoad;
    private final Map<String, ControlledEngine> held = new HashMap<>();
    private final Map<UpstreamState, Long> lookedAt = new WeakHashMap<>();
    private long nextWeightsAt;

    private static final class ControlledEngine {
        private final UpstreamState upstream;
        private final AdapterLoader desk;
        private final long openedAt;
        private long nextReportAt;
        private boolean reportOpen;
        private boolean reported;
        private boolean weightsOpen;

        private ControlledEngine(UpstreamState upstream, AdapterLoader desk, long now) {
            this.upstream = upstream;
            this.desk = desk;
            this.nextReportAt = now;
            this.openedAt = now;
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
        this.nextWeightsAt = time.nanoTime();
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
        held.values()
                .removeIf(h -> !claims.holds(h.upstream.id()) || !engines.containsKey(h.upstream));
        engines.forEach(
                (u, spec) -> {
                    if (needed && claims.holder(u.id()).isEmpty()) {
                        lookAt(u);
                    }
                    if (claims.holds(u.id())) {
                        serve(held.computeIfAbsent(u.id(), id -> open(u)), spec, engines);
                    }
                });
    }

    /** Reads the report of an engine of which no instance tells what it holds, as after a start. */
    private void lookAt(UpstreamState u) {
        long now = time.nanoTime();
        if (now - lookedAt.getOrDefault(u, now - LOOK_INTERVAL.toNanos())
                >= LOOK_INTERVAL.toNanos()) {
            lookedAt.put(u, now);
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

    private ControlledEngine open(UpstreamState u) {
        AdapterLoader desk =
                new AdapterLoader(
                        u,
                        transport,
                        time,
                        scheduler,
                        () -> claims.fencing(u.id()).getOrElse(-1L),
                        expectedLoad,
                        listener);
        return new ControlledEngine(u, desk, time.nanoTime());
    }

    private void serve(
            ControlledEngine h, EngineSpec spec, Map<UpstreamState, EngineSpec> engines) {
        if (claims.fencing(h.upstream.id()).isEmpty()) {
            return;
        }
        long now = time.nanoTime();
        if (!h.reportOpen && now - h.nextReportAt >= 0) {
            readReport(h);
        }
        if (!h.reported) {
            return;
        }
        if (h.upstream.models().isEmpty()) {
            loadWeights(h, spec, engines);
        }
        h.desk.onTick(Option.of(spec));
    }

    private void readReport(ControlledEngine h) {
        h.reportOpen = true;
        transport.report(
                h.upstream.upstream(),
                status -> {
                    h.reportOpen = false;
                    boolean soon =
                            h.desk.isDown()
                                    || h.upstream.models().isEmpty()
                                    || time.nanoTime() - h.openedAt
                                            < AdapterLoader.TAKEOVER.toNanos();
                    Duration interval = soon ? EMPTY_REPORT_INTERVAL : REPORT_INTERVAL;
                    h.nextReportAt = time.nanoTime() + interval.toNanos();
                    status.forEach(
                            s -> {
                                h.reported = true;
                                h.desk.onReport(s);
                            });
                });
    }

    /** Orders the model that the fewest engines hold; the weight store bounds the rate. */
    private void loadWeights(
            ControlledEngine h, EngineSpec spec, Map<UpstreamState, EngineSpec> engines) {
        long now = time.nanoTime();
        if (h.weightsOpen || h.upstream.upstream().draining() || now - nextWeightsAt < 0) {
            return;
        }
        Option<ModelSpec> model =
                Option.ofOptional(
                        spec.models().stream()
                                .filter(m -> m.weightsMb() <= spec.weightsMb())
                                .min(Comparator.comparingLong(m -> holders(m, engines))));
        if (model.isEmpty()) {
            return;
        }
        int fleet = Math.max(1, membership.live().size());
        double gap = fleet / Math.max(spec.loadsPerSecond(), 0.1);
        nextWeightsAt = now + (long) (gap * 1e9);
        h.weightsOpen = true;
        Order order =
                new Order(
                        Order.Operation.LOAD,
                        new AdapterRef(model.get().name(), ""),
                        0,
                        claims.fencing(h.upstream.id()).get());
        transport.order(
                h.upstream.upstream(),
                order,
                reply -> {
                    h.weightsOpen = false;
                    h.nextReportAt = time.nanoTime() + EMPTY_REPORT_INTERVAL.toNanos();
                    LOG.infof(
                            "event=order upstream=%s operation=LOAD model=%s fencing=%d reply=%s",
                            h.upstream.id(), model.get().name(), order.fencing(), reply);
                    if (reply == OrderReply.FENCED) {
                        listener.fenced(h.upstream);
                    }
                });
    }

    private static long holders(ModelSpec model, Map<UpstreamState, EngineSpec> engines) {
        return engines.keySet().stream().filter(u -> u.holdsModel(model.name())).count();
    }

    /** Returns the desk of an engine that this instance gives orders to. */
    Option<AdapterLoader> desk(String upstream) {
        return Option.of(held.get(upstream)).map(h -> h.desk);
    }

    /** Returns whether this instance gives orders to the engine and has read a report of it. */
    boolean hasReport(UpstreamState upstream) {
        ControlledEngine h = held.get(upstream.id());
        return h != null && h.upstream == upstream && h.reported;
    }

    /** Ends the work for an engine that is gone or has restarted. */
    void drop(UpstreamState upstream) {
        ControlledEngine h = held.get(upstream.id());
        if (h != null && h.upstream == upstream) {
            held.remove(upstream.id());
        }
    }
}
