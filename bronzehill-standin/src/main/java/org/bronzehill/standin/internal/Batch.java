package org.bronzehill.standin.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.Predicate;
import org.bronzehill.standin.Profile.EngineFigures;

/** Queue and continuous batch of an engine. Not thread-safe: guarded by its engine. */
final class Batch {

    private static final double PREFILL_BASE_MS = 25;
    private static final double PREFILL_MS_PER_CHARACTER = 0.02;

    private final EngineFigures figures;
    private final Queue<EngineRequest> queue = new PriorityQueue<>(EngineRequest.BY_PRIORITY);
    private final List<EngineRequest> running = new ArrayList<>();
    private long steps;
    private long occupiedSlotSteps;

    private Batch(EngineFigures figures) {
        this.figures = figures;
    }

    static Batch of(EngineFigures figures) {
        return new Batch(figures);
    }

    void add(EngineRequest request) {
        queue.add(request);
    }

    boolean hasRoom() {
        return running.size() < figures.batchSize();
    }

    EngineRequest pollQueue() {
        return queue.poll();
    }

    /** Starts a run; reading the prompt takes less time if its prefix is cached. */
    void start(EngineRequest request, double nowMs, boolean prefixCached) {
        double prefillMs = PREFILL_BASE_MS + PREFILL_MS_PER_CHARACTER * request.promptLength;
        request.enterBatch(nowMs + (prefixCached ? prefillMs / 4 : prefillMs));
        running.add(request);
    }

    /** Makes one token for each run and removes and returns the complete ones. */
    List<EngineRequest> step(double nowMs) {
        steps++;
        occupiedSlotSteps += running.size();
        List<EngineRequest> complete = new ArrayList<>();
        for (EngineRequest request : running) {
            if (request.step(nowMs)) {
                complete.add(request);
            }
        }
        running.removeAll(complete);
        return complete;
    }

    /** Returns how long the next step takes; it grows with the fullness of the batch. */
    double stepMs() {
        return figures.stepMs() + figures.stepPerRequestMs() * running.size();
    }

    /** Removes the runs in the batch that match. */
    List<EngineRequest> removeRunning(Predicate<EngineRequest> which) {
        List<EngineRequest> removed = running.stream().filter(which).toList();
        running.removeAll(removed);
        return removed;
    }

    /** Removes the waiting runs that match. */
    List<EngineRequest> removeWaiting(Predicate<EngineRequest> which) {
        List<EngineRequest> removed = queue.stream().filter(which).toList();
        queue.removeAll(removed);
        return removed;
    }

    boolean isIdle() {
        return running.isEmpty();
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return queue.size();
    }

    long steps() {
        return steps;
    }

    /** Returns the sum of batch sizes over all steps. */
    long occupiedSlotSteps() {
        return occupiedSlotSteps;
    }
}
