package org.bronzehill.replay.harness;

import org.bronzehill.core.node.FailureReason;

/** One attempt at an engine, with the connection over which its events travel. */
final class EngineRun {

    /** Receiver of the events of an attempt, at the holder. */
    interface Events {
        void started();

        void chunk(int sequence, int total);

        void complete(int chunks);

        void failed(FailureReason reason);
    }

    /** What the engine needs to know about an attempt. */
    record Work(
            String request,
            int attempt,
            String handle,
            int priority,
            int tokens,
            boolean crashes) {}

    private final Work work;
    private final String holder;
    private final Events events;
    private long order;
    private boolean silent;
    private boolean wanted = true;

    EngineRun(Work work, String holder, Events events) {
        this.work = work;
        this.holder = holder;
        this.events = events;
    }

    String request() {
        return work.request();
    }

    int attempt() {
        return work.attempt();
    }

    String handle() {
        return work.handle();
    }

    String holder() {
        return holder;
    }

    int priority() {
        return work.priority();
    }

    int tokens() {
        return work.tokens();
    }

    boolean crashes() {
        return work.crashes();
    }

    long order() {
        return order;
    }

    void queued(long number) {
        order = number;
    }

    /** Makes the connection silent: the engine goes on, but nothing reaches the holder. */
    void silence() {
        silent = true;
    }

    /** The holder has given the attempt up. */
    void unwanted() {
        wanted = false;
    }

    boolean isWanted() {
        return wanted;
    }

    boolean isSilent() {
        return silent;
    }

    void chunk(int sequence, int total) {
        if (!silent) {
            if (sequence == 0) {
                events.started();
            }
            events.chunk(sequence, total);
        }
    }

    void complete(int chunks) {
        if (!silent) {
            events.complete(chunks);
        }
    }

    void fail(FailureReason reason) {
        if (!silent) {
            events.failed(reason);
        }
    }
}
