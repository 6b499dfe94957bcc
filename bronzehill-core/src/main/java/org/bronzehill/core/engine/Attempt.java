package org.bronzehill.core.engine;

/** One attempt that runs on the engine. */
final class Attempt {

    private final long id;
    private final QueuedRequest queued;
    private final AdapterHandle handle;
    private final long startedNanos;

    /** Whether output has arrived. */
    boolean hasOutput;

    /** Whether the request got its crash mark for the crash in progress. */
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
