package org.bronzehill.replay.harness;

import org.bronzehill.core.node.FailureReason;

/**
 * Run of a request on an engine, with the connection that carries its events to the holder. The
 * holder is the entry instance that sent the request to the engine because it holds the engine's
 * lease.
 */
final class EngineRun {

    /** Receives the events of a run at the holder. */
    interface Listener {
        void started();

        void chunk(int sequence, int total);

        void complete(int chunks);

        void failed(FailureReason reason);
    }

    /** Request parameters that the engine uses. */
    record Parameters(
            String request,
            int attempt,
            String handle,
            int priority,
            int tokens,
            boolean crashes) {}

    private final Parameters parameters;
    private final String holder;
    private final Listener listener;
    private long queueOrder;
    private boolean silent;
    private boolean awaited = true;

    EngineRun(Parameters parameters, String holder, Listener listener) {
        this.parameters = parameters;
        this.holder = holder;
        this.listener = listener;
    }

    String request() {
        return parameters.request();
    }

    int attempt() {
        return parameters.attempt();
    }

    String handle() {
        return parameters.handle();
    }

    String holder() {
        return holder;
    }

    int priority() {
        return parameters.priority();
    }

    int tokens() {
        return parameters.tokens();
    }

    boolean crashes() {
        return parameters.crashes();
    }

    long queueOrder() {
        return queueOrder;
    }

    void setQueueOrder(long number) {
        queueOrder = number;
    }

    /** Makes the connection silent: the run continues, but no event reaches the holder. */
    void silence() {
        silent = true;
    }

    /**
     * Marks the run as no longer awaited by its holder. If its adapter is evicted afterwards, the
     * run does not count as interrupted.
     */
    void stopAwaiting() {
        awaited = false;
    }

    boolean isAwaitedByHolder() {
        return awaited;
    }

    boolean isSilent() {
        return silent;
    }

    void chunk(int sequence, int total) {
        if (!silent) {
            if (sequence == 0) {
                listener.started();
            }
            listener.chunk(sequence, total);
        }
    }

    void complete(int chunks) {
        if (!silent) {
            listener.complete(chunks);
        }
    }

    void fail(FailureReason reason) {
        if (!silent) {
            listener.failed(reason);
        }
    }
}
