package org.bronzehill.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.result.ResultCode;
import reactor.core.publisher.Sinks;

/** Relays an answer as server-sent events as its chunks arrive. */
final class StreamSink extends AnswerSink {

    /** Largest number of events buffered for a slow caller; a full buffer ends the answer. */
    private static final int MAX_BUFFERED_EVENTS = 1024;

    private final CompletableFuture<Reply> reply;
    private final CompletableFuture<Void> delivered = new CompletableFuture<>();
    private final Sinks.Many<Reply.StreamEvent> events =
            Sinks.many()
                    .unicast()
                    .onBackpressureBuffer(new ArrayBlockingQueue<>(MAX_BUFFERED_EVENTS));

    StreamSink(RequestInfo info, RelayListener listener, CompletableFuture<Reply> reply) {
        super(info, listener);
        this.reply = reply;
    }

    @Override
    void onProvenance(Provenance source) {
        reply.complete(
                new Reply(
                        ResultCode.OK.httpStatus(),
                        "text/event-stream",
                        Map.of("Cache-Control", "no-cache"),
                        source,
                        null,
                        null,
                        events.asFlux().doFinally(signal -> delivered.complete(null)),
                        delivered));
    }

    @Override
    boolean onData(byte[] data) {
        return emit(new String(data, StandardCharsets.UTF_8), "");
    }

    @Override
    boolean tryReset() {
        return false;
    }

    @Override
    void onEnd(Effect.Answer answer) {
        if (!reply.isDone()) {
            reply.complete(Replies.of(info(), answer));
            return;
        }
        String comment = "X-Bronzehill-Result: " + answer.code().number();
        if (answer.code().isSuccess()) {
            emit("[DONE]", comment);
        } else {
            emit(ErrorBody.json(info(), answer), comment);
        }
        events.tryEmitComplete();
    }

    private boolean emit(String data, String comment) {
        return events.tryEmitNext(new Reply.StreamEvent(data, comment)).isSuccess();
    }
}
