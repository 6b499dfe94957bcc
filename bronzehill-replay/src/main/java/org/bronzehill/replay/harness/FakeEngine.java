package org.bronzehill.replay.harness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.OrderOutcome;

/** Small stand-in of an engine on virtual time. */
public final class FakeEngine {

    /** Time until the first output of a request. */
    static final long FIRST_TOKEN_NANOS = 80 * VirtualTime.MS;

    /** Time of one decoding step, during which every running request gains one token. */
    static final long STEP_NANOS = 20 * VirtualTime.MS;

    private static final long REPORT_LAG_NANOS = 100 * VirtualTime.MS;
    private static final long CRASH_AFTER_NANOS = 40 * VirtualTime.MS;
    private static final long CRASH_DOWN_MS = 2000;
    private static final int CHUNKS = 3;

    /** State of a loaded or loading adapter. */
    private static final class Slot {
        private boolean loading = true;
        private int running;
        private long since;
        private final List<OrderCallback> orders = new ArrayList<>();
    }

    /** Receiver of the answer to an order. */
    interface OrderCallback {
        /** Called once, unless the connection breaks first. */
        void answered(OrderOutcome outcome, long highestFencing);
    }

    private final Upstream upstream;
    private final VirtualTime time;
    private final WeightStore store;
    private final EventLog log;
    private final Map<String, Slot> slots = new LinkedHashMap<>();
    private final List<EngineRun> running = new ArrayList<>();
    private final PriorityQueue<EngineRun> waiting =
            new PriorityQueue<>(
                    Comparator.comparingInt(EngineRun::priority)
                            .thenComparingLong(EngineRun::order));
    private final BatchMeter meter = new BatchMeter();
    private EngineReport report;
    private boolean up = true;
    private long start = 1;
    private long highestFencing;
    private long order;

    FakeEngine(Upstream upstream, VirtualTime time, WeightStore store, EventLog log) {
        this.upstream = upstream;
        this.time = time;
        this.store = store;
        this.log = log;
        sample();
    }

    String id() {
        return upstream.id();
    }

    boolean isUp() {
        return up;
    }

    BatchMeter meter() {
        return meter;
    }

    /** Returns the last sampled report, or null while the engine is down. */
    EngineReport report() {
        return up ? report : null;
    }

    private void sample() {
        List<EngineReport.HandleReport> handles = new ArrayList<>();
        slots.forEach(
                (h, s) -> handles.add(new EngineReport.HandleReport(h, s.loading, s.running)));
        long stamp = VirtualTime.START.toEpochMilli() + time.now() / VirtualTime.MS;
        long fencing = upstream.checksFencing() ? highestFencing : 0;
        report =
                new EngineReport(
                        id(),
                        start,
                        stamp,
                        fencing,
                        handles,
                        running.size(),
                        waiting.size(),
                        List.of());
        time.after(REPORT_LAG_NANOS, this::sample);
    }

    private boolean isFenced(long fencing) {
        if (upstream.checksFencing() && fencing < highestFencing) {
            return true;
        }
        highestFencing = Math.max(highestFencing, fencing);
        return false;
    }

    private long reportedFencing() {
        return upstream.checksFencing() ? highestFencing : 0;
    }

    void load(String handle, long fencing, String holder, OrderCallback done) {
        if (isFenced(fencing)) {
            answer("LOAD", handle, holder, OrderOutcome.FENCED, done);
            return;
        }
        Slot present = slots.get(handle);
        if (present != null && !present.loading) {
            answer("LOAD", handle, holder, OrderOutcome.DONE, done);
            return;
        }
        if (present != null) {
            present.orders.add(done);
            return;
        }
        if (slots.size() >= upstream.shape().adapterSlots()) {
            answer("LOAD", handle, holder, OrderOutcome.FULL, done);
            return;
        }
        Slot slot = new Slot();
        slot.orders.add(done);
        slots.put(handle, slot);
        log.add(new LogEvent.OrderHandled(time.now(), id(), "LOAD", handle, holder, "STARTED"));
        store.load(arrived -> loadEnded(handle, slot, arrived));
    }

    private void loadEnded(String handle, Slot slot, boolean arrived) {
        if (slots.get(handle) != slot) {
            return;
        }
        slot.loading = false;
        slot.since = time.now();
        if (arrived) {
            log.add(new LogEvent.AdapterLoaded(time.now(), id(), handle));
        } else {
            slots.remove(handle);
        }
        OrderOutcome outcome = arrived ? OrderOutcome.DONE : OrderOutcome.STORE_FAILED;
        slot.orders.forEach(o -> o.answered(outcome, reportedFencing()));
        slot.orders.clear();
    }

    void evict(String handle, long fencing, String holder, OrderCallback done) {
        Slot slot = slots.get(handle);
        OrderOutcome outcome = OrderOutcome.DONE;
        if (isFenced(fencing)) {
            outcome = OrderOutcome.FENCED;
        } else if (slot == null) {
            outcome = OrderOutcome.UNKNOWN_HANDLE;
        } else {
            slots.remove(handle);
            List<String> cut = new ArrayList<>();
            endMatching(handle, cut);
            log.add(new LogEvent.AdapterEvicted(time.now(), id(), handle, holder, cut));
        }
        answer("EVICT", handle, holder, outcome, done);
    }

    private void endMatching(String handle, List<String> cut) {
        List<EngineRun> all = new ArrayList<>(running);
        all.addAll(waiting);
        for (EngineRun r : all) {
            if (r.handle().equals(handle)) {
                if (r.isWanted()) {
                    cut.add(r.request());
                }
                end(r, "evicted");
                r.fail(FailureReason.BROKEN);
            }
        }
    }

    void setRole(String holder, long fencing, OrderCallback done) {
        OrderOutcome outcome = isFenced(fencing) ? OrderOutcome.FENCED : OrderOutcome.DONE;
        answer("SET_ROLE", "", holder, outcome, done);
    }

    private void answer(
            String kind, String handle, String holder, OrderOutcome outcome, OrderCallback done) {
        log.add(new LogEvent.OrderHandled(time.now(), id(), kind, handle, holder, outcome.name()));
        done.answered(outcome, reportedFencing());
    }

    /** Takes a request that has arrived at the engine. */
    void submit(EngineRun run) {
        Slot slot = slots.get(run.handle());
        if (slot == null || slot.loading) {
            run.fail(FailureReason.REFUSED);
            return;
        }
        log.add(
                new LogEvent.AttemptAccepted(
                        time.now(),
                        id(),
                        run.handle(),
                        run.request(),
                        run.attempt(),
                        run.holder()));
        slot.running++;
        run.queued(order++);
        waiting.add(run);
        startWaiting();
    }

    private void startWaiting() {
        while (running.size() < upstream.shape().batchSize() && !waiting.isEmpty()) {
            EngineRun r = waiting.poll();
            running.add(r);
            meter.change(time.now(), running.size());
            log.add(
                    new LogEvent.RunStarted(
                            time.now(),
                            id(),
                            r.handle(),
                            r.request(),
                            r.attempt(),
                            slots.get(r.handle()).since));
            if (r.crashes()) {
                time.after(CRASH_AFTER_NANOS, () -> crash(r));
            } else {
                time.after(FIRST_TOKEN_NANOS, () -> emit(r, 0));
            }
        }
    }

    private void crash(EngineRun r) {
        if (running.contains(r)) {
            stop("crash", CRASH_DOWN_MS);
        }
    }

    private void emit(EngineRun r, int sequence) {
        if (!running.contains(r)) {
            return;
        }
        r.chunk(sequence, CHUNKS);
        if (sequence + 1 < CHUNKS) {
            time.after(r.tokens() * STEP_NANOS / (CHUNKS - 1), () -> emit(r, sequence + 1));
            return;
        }
        end(r, "complete");
        r.complete(CHUNKS);
    }

    private void end(EngineRun r, String how) {
        boolean present = running.remove(r) | waiting.remove(r);
        if (!present) {
            return;
        }
        meter.change(time.now(), running.size());
        Slot slot = slots.get(r.handle());
        if (slot != null) {
            slot.running--;
        }
        log.add(new LogEvent.RunEnded(time.now(), id(), r.handle(), r.request(), how));
        startWaiting();
    }

    void cancel(EngineRun r) {
        end(r, "cancelled");
    }

    /** Ends everything that runs and starts again, empty, after {@code downMs}. */
    void stop(String why, long downMs) {
        if (!up) {
            return;
        }
        up = false;
        start++;
        log.add(new LogEvent.EngineStopped(time.now(), id(), why));
        List<EngineRun> all = new ArrayList<>(running);
        all.addAll(waiting);
        waiting.clear();
        running.clear();
        meter.change(time.now(), 0);
        all.forEach(
                r -> {
                    log.add(new LogEvent.RunEnded(time.now(), id(), r.handle(), r.request(), why));
                    r.fail(FailureReason.BROKEN);
                });
        List<OrderCallback> orders = new ArrayList<>();
        slots.values().forEach(s -> orders.addAll(s.orders));
        slots.clear();
        orders.forEach(o -> o.answered(OrderOutcome.UNKNOWN, 0));
        time.after(
                downMs * VirtualTime.MS,
                () -> {
                    up = true;
                    highestFencing = 0;
                });
    }
}
