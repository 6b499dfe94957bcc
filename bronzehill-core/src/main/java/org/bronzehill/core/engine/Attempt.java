package org.bronzehill.core.engine;

/** One attempt at a request that runs on the engine. */
final class Attempt {

    private final long id;
    private final AdmittedRequest admitted;
    private final AdapterHandle handle;
    private final long startedNanos;

    /** Whether the engine has sent output. */
    boolean hasOutput;

    /** Whether the request has been marked for the current crash of the engine. */
    boolean crashMarked;

    /** Time of the cancellation; negative if the attempt was not cancelled. */
    long cancelledNanos = -1;

    Attempt(long id, AdmittedRequest admitted, AdapterHandle handle, long startedNanos) {
        this.id = id;
        this.admitted = admitted;
        this.handle = handle;
        this.startedNanos = startedNanos;
    }

    long id() {
        return id;
    }

    AdmittedRequest admitted() {
        return admitted;
    }

    EngineRequest request() {
        return admitted.request();
    }

    AdapterHandle handle() {
        return handle;
    }

    long startedNanos() {
        return startedNanos;
    }
}
