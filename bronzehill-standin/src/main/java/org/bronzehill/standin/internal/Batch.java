package org.bronzehill.standin.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.Predicate;
import org.bronzehill.standin.Profile.EngineParameters;

/**
 * Request queue and continuous batch of an engine. Not thread-safe; the engine synchronizes all
 * access.
 */
final class Batch {

    private static final double PREFILL_BASE_MS = 25;
    private static final double PREFILL_MS_PER_CHARACTER = 0.02;

    private final EngineParameters parameters;
    private final Queue<EngineRequest> queue = new PriorityQueue<>(EngineRequest.BY_PRIORITY);
    private final List<EngineRequest> running = new ArrayList<>();
    private long steps;
    private long requestsOverSteps;

    private Batch(EngineParameters parameters) {
        this.parameters = parameters;
    }

    static Batch of(EngineParameters parameters) {
        return new Batch(parameters);
    }

    void add(EngineRequest request) {
        queue.add(request);
    }

    boolean hasRoom() {
        return running.size() < parameters.batchSize();
    }

    EngineRequest pollQueue() {
        return queue.poll();
    }

    /** Adds a request to the batch; a cached prefix shortens the prefill to a quarter. */
    void start(EngineRequest request, double nowMs, boolean prefixCached) {
        double prefillMs = PREFILL_BASE_MS + PREFILL_MS_PER_CHARACTER * request.promptLength;
        request.enterBatch(nowMs + (prefixCached ? prefillMs / 4 : prefillMs));
        running.add(request);
    }

    /**
     * Runs one step, in which each request whose prefill has ended produces one token. Removes and
     * returns the completed requests.
     */
    List<EngineRequest> step(double nowMs) {
        steps++;
        requestsOverSteps += running.size();
        List<EngineRequest> complete = new ArrayList<>();
        for (EngineRequest request : running) {
            if (request.step(nowMs)) {
                complete.add(request);
            }
        }
        running.removeAll(complete);
        return complete;
    }

    /** Returns the duration of the next step, which grows with the number of requests. */
    double stepMs() {
        return parameters.stepMs() + parameters.stepPerRequestMs() * running.size();
    }

    /** Removes and returns the matching requests in the batch. */
    List<EngineRequest> removeRunning(Predicate<EngineRequest> which) {
        List<EngineRequest> removed = running.stream().filter(which).toList();
        running.removeAll(removed);
        return removed;
    }

    /** Removes and returns the matching requests in the queue. */
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

    /** Returns the number of requests in the batch, summed over all steps. */
    long requestsOverSteps() {
        return requestsOverSteps;
    }
}
