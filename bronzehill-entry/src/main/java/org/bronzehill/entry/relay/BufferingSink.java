package org.bronzehill.entry.relay;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.node.Effect;

/** Buffers an answer and completes the reply when the answer has ended. */
final class BufferingSink extends AnswerSink {

    /** Largest buffered answer; far above an answer of 32,000 tokens, which takes about 200 KB. */
    private static final int MAX_BODY_BYTES = 4 << 20;

    private final CompletableFuture<Reply> reply;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Provenance provenance;

    BufferingSink(RequestInfo info, RelayListener listener, CompletableFuture<Reply> reply) {
        super(info, listener);
        this.reply = reply;
    }

    @Override
    void onProvenance(Provenance source) {
        provenance = source;
    }

    @Override
    boolean onData(byte[] data) {
        if (body.size() + data.length > MAX_BODY_BYTES) {
            return false;
        }
        body.writeBytes(data);
        return true;
    }

    @Override
    boolean tryReset() {
        body.reset();
        provenance = null;
        return true;
    }

    @Override
    void onEnd(Effect.Answer answer) {
        if (answer.code().isSuccess() && answer.body() == null) {
            reply.complete(
                    Reply.ofBody(
                            answer.code().httpStatus(),
                            "application/json",
                            Map.of(),
                            answer.provenance() != null ? answer.provenance() : provenance,
                            answer.code(),
                            body.toByteArray()));
        } else {
            reply.complete(Replies.of(info(), answer));
        }
    }
}
