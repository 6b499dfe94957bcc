package org.bronzehill.replay.baseline;

import org.bronzehill.config.KindSpec;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.ModelRequest;

/** An open model request of a baseline. */
final class BaselineRequest {

    private final ModelRequest request;
    private final KindSpec kind;
    private final AdapterVersion adapter;
    private final long deadlineNanos;
    private int attempt;
    private boolean started;
    private boolean ended;
    private long attemptId;
    private EngineView engine;

    BaselineRequest(
            ModelRequest request, KindSpec kind, AdapterVersion adapter, long deadlineNanos) {
        this.request = request;
        this.kind = kind;
        this.adapter = adapter;
        this.deadlineNanos = deadlineNanos;
    }

    ModelRequest request() {
        return request;
    }

    KindSpec kind() {
        return kind;
    }

    AdapterVersion adapter() {
        return adapter;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    int attempt() {
        return attempt;
    }

    EngineView engine() {
        return engine;
    }

    void assignTo(EngineView next) {
        engine = next;
    }

    void startAttempt(long id) {
        attempt++;
        attemptId = id;
    }

    long attemptId() {
        return attemptId;
    }

    void markStarted() {
        started = true;
    }

    boolean hasStarted() {
        return started;
    }

    boolean isEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }
}
