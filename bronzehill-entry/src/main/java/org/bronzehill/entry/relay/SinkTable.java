package org.bronzehill.entry.relay;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.result.ResultCode;

/** Table of the answers in progress to the callers of this instance, by request id. */
public final class SinkTable {

    private final ConcurrentHashMap<String, AnswerSink> sinks = new ConcurrentHashMap<>();
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicInteger streamsInDelivery = new AtomicInteger();
    private final RelayListener listener;
    private final int capacity;

    private SinkTable(RelayListener listener, int capacity) {
        this.listener = listener;
        this.capacity = capacity;
    }

    /** Creates a table for at most {@code capacity} concurrent answers. */
    public static SinkTable create(RelayListener listener, int capacity) {
        return new SinkTable(listener, capacity);
    }

    /**
     * Opens an answer that completes {@code reply}; returns false if the table is full or contains
     * the request id.
     */
    public boolean open(RequestInfo info, boolean stream, CompletableFuture<Reply> reply) {
        if (size.incrementAndGet() > capacity) {
            size.decrementAndGet();
            return false;
        }
        reply.thenAccept(this::trackDelivery);
        AnswerSink sink =
                stream
                        ? new StreamSink(info, listener, reply)
                        : new BufferingSink(info, listener, reply);
        if (sinks.putIfAbsent(info.requestId(), sink) != null) {
            size.decrementAndGet();
            return false;
        }
        return true;
    }

    private void trackDelivery(Reply reply) {
        streamsInDelivery.incrementAndGet();
        reply.whenDelivered().whenComplete((r, e) -> streamsInDelivery.decrementAndGet());
    }

    /** Reports a request that is refused without an entry in the table, and returns its reply. */
    public Reply refuseWithoutEntry(RequestInfo info, Effect.Answer answer) {
        listener.onEnded(
                new RequestOutcome(
                        info,
                        answer.code(),
                        answer.provenance(),
                        0,
                        0,
                        answer.loadStall(),
                        answer.detail()));
        return Replies.of(info, answer);
    }

    /** Relays one chunk of an attempt. */
    public void chunk(String requestId, int attempt, long sequence, byte[] data) {
        AnswerSink sink = sinks.get(requestId);
        if (sink != null) {
            sink.chunk(attempt, sequence, data);
            removeEnded(requestId, sink);
        }
    }

    /** Stops relaying an attempt, unless the caller may have received some of its chunks. */
    public void abandon(String requestId, int attempt) {
        AnswerSink sink = sinks.get(requestId);
        if (sink != null) {
            sink.abandon(attempt);
        }
    }

    /** Ends an answer with the result of the core, or with a refusal outside the core. */
    public void answer(Effect.Answer answer) {
        AnswerSink sink = sinks.get(answer.requestId());
        if (sink != null) {
            sink.answer(answer);
            removeEnded(answer.requestId(), sink);
        }
    }

    /** Ends the answer to a caller that has closed its connection. */
    public void callerDisconnected(String requestId) {
        fail(requestId, ResultCode.CANCELLED);
    }

    /** Ends an answer with a failure that was detected outside the core. */
    public void fail(String requestId, ResultCode code) {
        AnswerSink sink = sinks.get(requestId);
        if (sink != null) {
            sink.fail(code);
            removeEnded(requestId, sink);
        }
    }

    private void removeEnded(String requestId, AnswerSink sink) {
        if (sink.isEnded() && sinks.remove(requestId, sink)) {
            size.decrementAndGet();
        }
    }

    /** Returns the number of streams whose last event the HTTP library has not taken yet. */
    public int streamsInDelivery() {
        return streamsInDelivery.get();
    }

    /** Returns the number of answers in progress. */
    public int size() {
        return size.get();
    }
}
