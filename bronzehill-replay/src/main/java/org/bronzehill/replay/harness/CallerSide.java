package org.bronzehill.replay.harness;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.result.ResultCode;

/**
 * Connections of one instance's callers: delivers chunks of one attempt to each caller and checks
 * that a complete answer consists of all chunks of the caller's own request.
 */
final class CallerSide {

    private static final long WAIT_FOR_CHUNKS_NANOS = 1000 * VirtualTime.MS;

    /** One open request. */
    private static final class Open {
        private final byte[] ownBody;
        private int deliveredAttempt;
        private final TreeSet<Long> sequences = new TreeSet<>();
        private final TreeSet<Integer> abandoned = new TreeSet<>();
        private boolean foreign;
        private long total = -1;

        private Open(byte[] ownBody) {
            this.ownBody = ownBody;
        }
    }

    private final EntryProgram program;
    private final VirtualTime time;
    private final EventLog log;
    private final Map<String, Open> open = new HashMap<>();
    private int waitingForChunks;

    CallerSide(EntryProgram program, VirtualTime time, EventLog log) {
        this.program = program;
        this.time = time;
        this.log = log;
    }

    void opened(String request, byte[] body) {
        open.put(request, new Open(body));
    }

    boolean isOpen(String request) {
        return open.containsKey(request);
    }

    /** Returns the number of requests that the core has not answered yet. */
    int count() {
        return open.size() - waitingForChunks;
    }

    /** Returns whether an answered request still waits for late chunks. */
    boolean isWaitingForChunks() {
        return waitingForChunks > 0;
    }

    void chunk(ChunkData data) {
        Open o = open.get(data.request());
        if (o == null || o.abandoned.contains(data.attempt())) {
            return;
        }
        if (o.deliveredAttempt == 0) {
            o.deliveredAttempt = data.attempt();
        }
        if (o.deliveredAttempt != data.attempt()) {
            return;
        }
        o.sequences.add(data.sequence());
        o.total = data.total();
        o.foreign |= !data.content().equals(EntryProgram.contentOf(data.request()));
        program.deliver(
                new Input.AnswerProgress(data.request(), data.attempt(), o.sequences.size()));
    }

    void abandon(Effect.AbandonAttempt effect) {
        Open o = open.get(effect.requestId());
        if (o == null) {
            return;
        }
        if (o.deliveredAttempt == effect.attempt()) {
            program.deliver(
                    new Input.AnswerProgress(
                            effect.requestId(), effect.attempt(), o.sequences.size()));
        } else {
            o.abandoned.add(effect.attempt());
        }
    }

    void gone(String request) {
        open.remove(request);
    }

    void answer(Effect.Answer a) {
        Open o = open.get(a.requestId());
        if (o == null) {
            return;
        }
        boolean model = a.chunks() >= 0;
        boolean missing =
                a.code().isSuccess() && model && o.sequences.size() < Math.max(1, a.chunks());
        if (missing && (o.deliveredAttempt == a.attempt() || o.deliveredAttempt == 0)) {
            waitingForChunks++;
            time.after(
                    WAIT_FOR_CHUNKS_NANOS,
                    () -> {
                        waitingForChunks--;
                        finish(a);
                    });
        } else {
            finish(a);
        }
    }

    private void finish(Effect.Answer a) {
        Open o = open.remove(a.requestId());
        if (o == null || !program.isRunning()) {
            return;
        }
        ResultCode code = a.code();
        boolean whole = true;
        if (code.isSuccess() && a.chunks() >= 0) {
            boolean other = o.deliveredAttempt != 0 && o.deliveredAttempt != a.attempt();
            boolean partial = o.sequences.size() < a.chunks();
            if (other || partial) {
                code = ResultCode.TRUNCATED;
            } else {
                whole = !o.foreign && o.sequences.size() == o.total;
            }
        } else if (code.isSuccess()) {
            whole = a.body() != null && Arrays.equals(a.body().body(), o.ownBody);
        }
        log.add(
                new LogEvent.RequestAnswered(
                        time.now(),
                        a.requestId(),
                        program.id(),
                        code,
                        a.provenance(),
                        whole,
                        a.loadStall() == null ? 0 : a.loadStall().toNanos(),
                        a.detail() == null ? "" : a.detail()));
    }

    /** Content of a chunk as it travels between instances. */
    record ChunkData(String request, int attempt, long sequence, long total, String content) {}
}
