package org.bronzehill.replay.harness;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.result.ResultCode;

/**
 * Caller connections of one instance. Each caller receives the chunks of a single attempt. A
 * successful answer is checked to consist of all chunks, each of them for the caller's own request.
 */
final class CallerConnections {

    private static final long LATE_CHUNK_TIMEOUT_NANOS = 1000 * VirtualTime.NANOS_PER_MS;

    /** Request whose caller is connected and has no answer yet. */
    private static final class OpenRequest {
        private final byte[] requestBody;
        private int deliveredAttempt;
        private final TreeSet<Long> sequences = new TreeSet<>();
        private final TreeSet<Integer> abandoned = new TreeSet<>();
        private boolean hasForeignChunk;
        private long total = -1;

        private OpenRequest(byte[] requestBody) {
            this.requestBody = requestBody;
        }
    }

    private final EntryInstance instance;
    private final VirtualTime time;
    private final EventLog log;
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private int waitingForChunks;

    CallerConnections(EntryInstance instance, VirtualTime time, EventLog log) {
        this.instance = instance;
        this.time = time;
        this.log = log;
    }

    void open(String request, byte[] body) {
        openRequests.put(request, new OpenRequest(body));
    }

    boolean isOpen(String request) {
        return openRequests.containsKey(request);
    }

    /** Returns the number of requests that the core has not answered yet. */
    int unansweredCount() {
        return openRequests.size() - waitingForChunks;
    }

    /** Returns whether any answered request still waits for late chunks. */
    boolean isWaitingForChunks() {
        return waitingForChunks > 0;
    }

    void onChunk(ChunkData data) {
        OpenRequest o = openRequests.get(data.request());
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
        o.hasForeignChunk |= !data.content().equals(EntryInstance.contentOf(data.request()));
        instance.deliver(
                new Input.AnswerProgress(data.request(), data.attempt(), o.sequences.size()));
    }

    void abandon(Effect.AbandonAttempt effect) {
        OpenRequest o = openRequests.get(effect.requestId());
        if (o == null) {
            return;
        }
        if (o.deliveredAttempt == effect.attempt()) {
            instance.deliver(
                    new Input.AnswerProgress(
                            effect.requestId(), effect.attempt(), o.sequences.size()));
        } else {
            o.abandoned.add(effect.attempt());
        }
    }

    void disconnect(String request) {
        openRequests.remove(request);
    }

    void answer(Effect.Answer a) {
        OpenRequest o = openRequests.get(a.requestId());
        if (o == null) {
            return;
        }
        boolean model = a.chunks() >= 0;
        boolean missing =
                a.code().isSuccess() && model && o.sequences.size() < Math.max(1, a.chunks());
        if (missing && (o.deliveredAttempt == a.attempt() || o.deliveredAttempt == 0)) {
            waitingForChunks++;
            time.after(
                    LATE_CHUNK_TIMEOUT_NANOS,
                    () -> {
                        waitingForChunks--;
                        logAnswer(a);
                    });
        } else {
            logAnswer(a);
        }
    }

    private void logAnswer(Effect.Answer a) {
        OpenRequest o = openRequests.remove(a.requestId());
        if (o == null || !instance.isRunning()) {
            return;
        }
        ResultCode code = a.code();
        boolean complete = true;
        if (code.isSuccess() && a.chunks() >= 0) {
            boolean otherAttempt = o.deliveredAttempt != 0 && o.deliveredAttempt != a.attempt();
            boolean partial = o.sequences.size() < a.chunks();
            if (otherAttempt || partial) {
                code = ResultCode.TRUNCATED;
            } else {
                complete = !o.hasForeignChunk && o.sequences.size() == o.total;
            }
        } else if (code.isSuccess()) {
            complete = a.body() != null && Arrays.equals(a.body().body(), o.requestBody);
        }
        log.add(
                new LogEvent.RequestAnswered(
                        time.now(),
                        a.requestId(),
                        instance.id(),
                        code,
                        a.provenance(),
                        complete,
                        a.loadStall() == null ? 0 : a.loadStall().toNanos(),
                        a.detail() == null ? "" : a.detail()));
    }

    /** Chunk of an answer as relayed between instances. */
    record ChunkData(String request, int attempt, long sequence, long total, String content) {}
}
