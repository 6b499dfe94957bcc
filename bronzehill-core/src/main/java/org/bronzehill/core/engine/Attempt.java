package org.bronzehill.core.engine;

/** One attempt at a request that runs on the engine. */
final class Attempt {

    private final long id;
    private final QueuedRequest queued;
    private final AdapterHandle handle;
    private final long startedNanos;

    /** Whether the engine has sent output. */
    boolean hasOutput;

    /** Whether the request has been marked for the current crash of the engine. */
    boolean crashMarked;

    /** Time of the cancellation; negative if the attempt was not cancelled. */
    long cancelledNanos = -1;

    Attempt(long id, QueuedRequest queued, AdapterHandle handle, long startedNanos) {
        this.id = id;
        this.queued = queued;
        this.handle = handle;
        this.startedNanos = startedNanos;
    }

    long id() {
        return id;
    }

    QueuedRequest queued() {
        return queued;
    }

    EngineRequest request() {
        return queued.request();
    }

    AdapterHandle handle() {
        return handle;
    }

    long startedNanos() {
        return startedNanos;
    }
}
