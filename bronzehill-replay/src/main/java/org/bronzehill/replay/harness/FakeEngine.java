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

/** Engine on virtual time with adapter slots, a batch of running requests and a priority queue. */
public final class FakeEngine {

    /** Time from the start of a run to its first output. */
    static final long FIRST_TOKEN_NANOS = 80 * VirtualTime.NANOS_PER_MS;

    /** Duration of a decoding step, in which every running request generates one token. */
    static final long DECODING_STEP_NANOS = 20 * VirtualTime.NANOS_PER_MS;

    private static final long REPORT_INTERVAL_NANOS = 100 * VirtualTime.NANOS_PER_MS;
    private static final long CRASH_DELAY_NANOS = 40 * VirtualTime.NANOS_PER_MS;
    private static final long CRASH_DOWNTIME_MS = 2000;
    private static final int CHUNKS_PER_ANSWER = 3;

    /** Adapter slot with a loaded or loading adapter. */
    private static final class Slot {
        private boolean loading = true;
        private int acceptedRuns;
        private long loadedAt;
        private final List<OrderCallback> orderCallbacks = new ArrayList<>();
    }

    /** Receives the answer to an order. */
    interface OrderCallback {
        /** Called at most once; not called if the adapter is evicted while it is loading. */
        void onAnswer(OrderOutcome outcome, long highestFencing);
    }

    private final Upstream upstream;
    private final VirtualTime time;
    private final FakeWeightStore store;
    private final EventLog log;
    private final Map<String, Slot> slots = new LinkedHashMap<>();
    private final List<EngineRun> running = new ArrayList<>();
    private final PriorityQueue<EngineRun> waiting =
            new PriorityQueue<>(
                    Comparator.comparingInt(EngineRun::priority)
                            .thenComparingLong(EngineRun::queueOrder));
    private final BatchMeter meter = new BatchMeter();
    private EngineReport report;
    private boolean up = true;
    private long startNumber = 1;
    private long highestFencing;
    private long nextQueueOrder;

    FakeEngine(Upstream upstream, VirtualTime time, FakeWeightStore store, EventLog log) {
        this.upstream = upstream;
        this.time = time;
        this.store = store;
        this.log = log;
        sampleReport();
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

    private void sampleReport() {
        List<EngineReport.HandleReport> handles = new ArrayList<>();
        slots.forEach(
                (h, s) -> handles.add(new EngineReport.HandleReport(h, s.loading, s.acceptedRuns)));
        long stamp = VirtualTime.START.toEpochMilli() + time.now() / VirtualTime.NANOS_PER_MS;
        long fencing = upstream.checksFencing() ? highestFencing : 0;
        report =
                new EngineReport(
                        id(),
                        startNumber,
                        stamp,
                        fencing,
                        handles,
                        running.size(),
                        waiting.size(),
                        List.of());
        time.after(REPORT_INTERVAL_NANOS, this::sampleReport);
    }

    /** Returns whether the engine refuses the fencing number; otherwise records the highest one. */
    private boolean refuseOrRecordFencing(long fencing) {
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
        if (refuseOrRecordFencing(fencing)) {
            answer("LOAD", handle, holder, OrderOutcome.FENCED, done);
            return;
        }
        Slot present = slots.get(handle);
        if (present != null && !present.loading) {
            answer("LOAD", handle, holder, OrderOutcome.DONE, done);
            return;
        }
        if (present != null) {
            present.orderCallbacks.add(done);
            return;
        }
        if (slots.size() >= upstream.engineProperties().adapterSlots()) {
            answer("LOAD", handle, holder, OrderOutcome.FULL, done);
            return;
        }
        Slot slot = new Slot();
        slot.orderCallbacks.add(done);
        slots.put(handle, slot);
        log.add(new LogEvent.OrderHandled(time.now(), id(), "LOAD", handle, holder, "STARTED"));
        store.load(arrived -> onTransferEnded(handle, slot, arrived));
    }

    private void onTransferEnded(String handle, Slot slot, boolean arrived) {
        if (slots.get(handle) != slot) {
            return;
        }
        slot.loading = false;
        slot.loadedAt = time.now();
        if (arrived) {
            log.add(new LogEvent.AdapterLoaded(time.now(), id(), handle));
        } else {
            slots.remove(handle);
        }
        OrderOutcome outcome = arrived ? OrderOutcome.DONE : OrderOutcome.STORE_FAILED;
        slot.orderCallbacks.forEach(o -> o.onAnswer(outcome, reportedFencing()));
        slot.orderCallbacks.clear();
    }

    void evict(String handle, long fencing, String holder, OrderCallback done) {
        Slot slot = slots.get(handle);
        OrderOutcome outcome = OrderOutcome.DONE;
        if (refuseOrRecordFencing(fencing)) {
            outcome = OrderOutcome.FENCED;
        } else if (slot == null) {
            outcome = OrderOutcome.UNKNOWN_HANDLE;
        } else {
            slots.remove(handle);
            List<String> interrupted = new ArrayList<>();
            endRunsOf(handle, interrupted);
            log.add(new LogEvent.AdapterEvicted(time.now(), id(), handle, holder, interrupted));
        }
        answer("EVICT", handle, holder, outcome, done);
    }

    private void endRunsOf(String handle, List<String> interrupted) {
        List<EngineRun> all = new ArrayList<>(running);
        all.addAll(waiting);
        for (EngineRun r : all) {
            if (r.handle().equals(handle)) {
                if (r.isAwaitedByHolder()) {
                    interrupted.add(r.request());
                }
                end(r, "evicted");
                r.fail(FailureReason.BROKEN);
            }
        }
    }

    void setRole(String holder, long fencing, OrderCallback done) {
        OrderOutcome outcome =
                refuseOrRecordFencing(fencing) ? OrderOutcome.FENCED : OrderOutcome.DONE;
        answer("SET_ROLE", "", holder, outcome, done);
    }

    private void answer(
            String kind, String handle, String holder, OrderOutcome outcome, OrderCallback done) {
        log.add(new LogEvent.OrderHandled(time.now(), id(), kind, handle, holder, outcome.name()));
        done.onAnswer(outcome, reportedFencing());
    }

    /** Queues a request; refuses it if its adapter is not loaded. */
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
        slot.acceptedRuns++;
        run.setQueueOrder(nextQueueOrder++);
        waiting.add(run);
        startWaiting();
    }

    private void startWaiting() {
        while (running.size() < upstream.engineProperties().batchSize() && !waiting.isEmpty()) {
            EngineRun r = waiting.poll();
            running.add(r);
            meter.update(time.now(), running.size());
            log.add(
                    new LogEvent.RunStarted(
                            time.now(),
                            id(),
                            r.handle(),
                            r.request(),
                            r.attempt(),
                            slots.get(r.handle()).loadedAt));
            if (r.crashes()) {
                time.after(CRASH_DELAY_NANOS, () -> crash(r));
            } else {
                time.after(FIRST_TOKEN_NANOS, () -> emit(r, 0));
            }
        }
    }

    private void crash(EngineRun r) {
        if (running.contains(r)) {
            stop("crash", CRASH_DOWNTIME_MS);
        }
    }

    private void emit(EngineRun r, int sequence) {
        if (!running.contains(r)) {
            return;
        }
        r.chunk(sequence, CHUNKS_PER_ANSWER);
        if (sequence + 1 < CHUNKS_PER_ANSWER) {
            time.after(
                    r.tokens() * DECODING_STEP_NANOS / (CHUNKS_PER_ANSWER - 1),
                    () -> emit(r, sequence + 1));
            return;
        }
        end(r, "complete");
        r.complete(CHUNKS_PER_ANSWER);
    }

    private void end(EngineRun r, String outcome) {
        boolean present = running.remove(r) | waiting.remove(r);
        if (!present) {
            return;
        }
        meter.update(time.now(), running.size());
        Slot slot = slots.get(r.handle());
        if (slot != null) {
            slot.acceptedRuns--;
        }
        log.add(new LogEvent.RunEnded(time.now(), id(), r.handle(), r.request(), outcome));
        startWaiting();
    }

    void cancel(EngineRun r) {
        end(r, "cancelled");
    }

    /** Aborts all runs and orders, and restarts with no adapters loaded after {@code downMs}. */
    void stop(String reason, long downMs) {
        if (!up) {
            return;
        }
        up = false;
        startNumber++;
        log.add(new LogEvent.EngineStopped(time.now(), id(), reason));
        List<EngineRun> all = new ArrayList<>(running);
        all.addAll(waiting);
        waiting.clear();
        running.clear();
        meter.update(time.now(), 0);
        all.forEach(
                r -> {
                    log.add(
                            new LogEvent.RunEnded(
                                    time.now(), id(), r.handle(), r.request(), reason));
                    r.fail(FailureReason.BROKEN);
                });
        List<OrderCallback> orders = new ArrayList<>();
        slots.values().forEach(s -> orders.addAll(s.orderCallbacks));
        slots.clear();
        orders.forEach(o -> o.onAnswer(OrderOutcome.UNKNOWN, 0));
        time.after(
                downMs * VirtualTime.NANOS_PER_MS,
                () -> {
                    up = true;
                    highestFencing = 0;
                });
    }
}
