package org.bronzehill.entry.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.result.ResultCode;

/**
 * Receives the chunks and the end of the answer to one request. The answer consists of the chunks
 * of a single attempt, in sequence. A missing chunk, or a difference between the numbers of chunks
 * sent and received, ends it as truncated. Thread-safe: chunks arrive on event loops, and the end
 * arrives on the core thread, or on another thread if it is a refusal or failure outside the core.
 */
abstract class AnswerSink {

    /** Shortest interval between two progress reports; the first chunk is always reported. */
    private static final long PROGRESS_INTERVAL_NANOS = 500_000_000L;

    /** A request has few attempts; the limit keeps the set small whatever peers send. */
    private static final int MAX_DISCARDED_ATTEMPTS = 64;

    private final RequestInfo info;
    private final RelayListener listener;
    private final Set<Integer> discardedAttempts = new HashSet<>();
    private Provenance provenance;
    private int relayedAttempt;
    private long receivedChunks;
    private long lastReportNanos;
    private boolean ended;

    AnswerSink(RequestInfo info, RelayListener listener) {
        this.info = info;
        this.listener = listener;
    }

    /** Starts the answer once its provenance is known. */
    abstract void onProvenance(Provenance source);

    /** Adds a chunk to the answer; returns false if the buffer is full or the caller cancelled. */
    abstract boolean onData(byte[] data);

    /** Discards the chunks added so far; returns false if the caller may have received some. */
    abstract boolean tryReset();

    /** Ends the answer. */
    abstract void onEnd(Effect.Answer answer);

    final RequestInfo info() {
        return info;
    }

    final synchronized boolean isEnded() {
        return ended;
    }

    final void chunk(int attempt, long sequence, byte[] data) {
        boolean progress = false;
        ResultCode failure = null;
        long count;
        synchronized (this) {
            if (ended
                    || discardedAttempts.contains(attempt)
                    || (relayedAttempt != 0 && relayedAttempt != attempt)) {
                return;
            }
            if (relayedAttempt == 0 && sequence != 0) {
                discard(attempt);
                return;
            }
            if (sequence != receivedChunks) {
                failure = ResultCode.TRUNCATED;
            } else {
                failure = acceptChunk(attempt, data);
                progress = failure == null && isProgressDue();
            }
            count = receivedChunks;
        }
        if (failure != null) {
            fail(failure);
        } else if (progress) {
            listener.onProgress(info.requestId(), attempt, count);
        }
    }

    private ResultCode acceptChunk(int attempt, byte[] data) {
        if (receivedChunks == 0) {
            Provenance source = ProvenanceChunk.decode(data);
            if (source == null) {
                return ResultCode.TRUNCATED;
            }
            relayedAttempt = attempt;
            provenance = source;
            onProvenance(source);
        } else if (!onData(data)) {
            // The caller has stopped reading or has cancelled, or a buffered answer exceeds its
            // size limit. All of these have the same result code.
            return ResultCode.SILENT_CONNECTION;
        }
        receivedChunks++;
        return null;
    }

    private boolean isProgressDue() {
        long now = System.nanoTime();
        if (receivedChunks > 1 && now - lastReportNanos < PROGRESS_INTERVAL_NANOS) {
            return false;
        }
        lastReportNanos = now;
        return true;
    }

    /**
     * Stops relaying an attempt and discards its chunks, unless the caller may already have
     * received some of them. In that case, the relay continues, and its progress is reported to the
     * core.
     */
    final void abandon(int attempt) {
        long count;
        synchronized (this) {
            if (ended) {
                return;
            }
            if (relayedAttempt == attempt && tryReset()) {
                relayedAttempt = 0;
                receivedChunks = 0;
                provenance = null;
            }
            if (relayedAttempt != attempt) {
                discard(attempt);
                return;
            }
            count = receivedChunks;
        }
        listener.onProgress(info.requestId(), attempt, count);
    }

    private void discard(int attempt) {
        if (discardedAttempts.size() < MAX_DISCARDED_ATTEMPTS) {
            discardedAttempts.add(attempt);
        }
    }

    /**
     * Ends the answer with the result of the core or with a refusal outside the core, or as
     * truncated if chunks are missing.
     */
    final void answer(Effect.Answer answer) {
        Effect.Answer actual;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            boolean relayedAnswer = answer.code().isSuccess() && answer.chunks() >= 0;
            boolean complete =
                    !relayedAnswer
                            || (relayedAttempt == answer.attempt()
                                    && receivedChunks == answer.chunks());
            actual = complete ? answer : truncated(answer);
            onEnd(actual);
        }
        notifyEnded(actual);
    }

    private Effect.Answer truncated(Effect.Answer answer) {
        return withCode(
                answer,
                ResultCode.TRUNCATED,
                "received " + receivedChunks + " of " + answer.chunks() + " chunks");
    }

    private static Effect.Answer withCode(Effect.Answer answer, ResultCode code, String detail) {
        return new Effect.Answer(
                answer.requestId(),
                answer.attempt(),
                code,
                answer.provenance(),
                answer.chunks(),
                null,
                answer.retryAfter(),
                answer.loadStall(),
                detail);
    }

    /** Ends the answer with a failure that was detected outside the core, and informs the core. */
    final void fail(ResultCode code) {
        Effect.Answer end;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            end =
                    new Effect.Answer(
                            info.requestId(),
                            relayedAttempt,
                            code,
                            provenance,
                            receivedChunks,
                            null,
                            Duration.ZERO,
                            Duration.ZERO,
                            "");
            onEnd(end);
        }
        listener.onAborted(info.requestId());
        notifyEnded(end);
    }

    private void notifyEnded(Effect.Answer end) {
        Provenance actualProvenance = end.provenance() != null ? end.provenance() : provenance;
        listener.onEnded(
                new RequestOutcome(
                        info,
                        end.code(),
                        actualProvenance,
                        end.attempt(),
                        end.chunks(),
                        end.loadStall(),
                        end.detail()));
    }
}
