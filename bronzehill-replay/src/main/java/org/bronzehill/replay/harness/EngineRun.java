package org.bronzehill.replay.harness;

import org.bronzehill.core.node.FailureReason;

/** One attempt at an engine, with the connection over which its events travel. */
final class EngineRun {

    /** Receiver of the events of an attempt, at the holder. */
    interface Listener {
        void started();

        void chunk(int sequence, int total);

        void complete(int chunks);

        void failed(FailureReason reason);
    }

    /** What the engine needs to know about an attempt. */
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

    /** Makes the connection silent: the engine goes on, but nothing reaches the holder. */
    void silence() {
        silent = true;
    }

    /** The holder has given the attempt up. */
    void abandonByHolder() {
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
