package org.bronzehill.standin.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.Predicate;
import org.bronzehill.standin.Profile.EngineFigures;

/** Queue and continuous batch of an engine. Not thread-safe: guarded by its engine. */
final class Batch {

    private static final double PROMPT_MS = 25;
    private static final double PROMPT_MS_PER_CHARACTER = 0.02;

    private final EngineFigures figures;
    private final Queue<Run> queue = new PriorityQueue<>(Run.BY_PRIORITY);
    private final List<Run> running = new ArrayList<>();
    private long steps;
    private long occupied;

    private Batch(EngineFigures figures) {
        this.figures = figures;
    }

    static Batch of(EngineFigures figures) {
        return new Batch(figures);
    }

    void add(Run run) {
        queue.add(run);
    }

    boolean hasRoom() {
        return running.size() < figures.batchSize();
    }

    Run pollQueue() {
        return queue.poll();
    }

    /** Starts a run; reading the prompt takes less time if its prefix is cached. */
    void start(Run run, double nowMs, boolean prefixCached) {
        double prompt = PROMPT_MS + PROMPT_MS_PER_CHARACTER * run.promptLength;
        run.enterBatch(nowMs + (prefixCached ? prompt / 4 : prompt));
        running.add(run);
    }

    /** Makes one token for each run and removes and returns the complete ones. */
    List<Run> step(double nowMs) {
        steps++;
        occupied += running.size();
        List<Run> complete = new ArrayList<>();
        for (Run run : running) {
            if (run.step(nowMs)) {
                complete.add(run);
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
    List<Run> removeRunning(Predicate<Run> which) {
        List<Run> removed = running.stream().filter(which).toList();
        running.removeAll(removed);
        return removed;
    }

    /** Removes the waiting runs that match. */
    List<Run> removeWaiting(Predicate<Run> which) {
        List<Run> removed = queue.stream().filter(which).toList();
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
    long occupied() {
        return occupied;
    }
}
