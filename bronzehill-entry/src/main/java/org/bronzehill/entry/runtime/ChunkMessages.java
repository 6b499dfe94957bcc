package org.bronzehill.entry.runtime;

import com.google.protobuf.UnsafeByteOperations;
import org.bronzehill.protocol.generated.DispatchChunk;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Builds the messages that carry the chunks of an answer to the origin, the instance that received
 * the request from its caller. The messages bypass the core thread.
 */
final class ChunkMessages {

    private ChunkMessages() {}

    static Envelope of(
            String from, String to, String requestId, int attempt, long sequence, byte[] data) {
        return Envelope.newBuilder()
                .setFrom(from)
                .setTo(to)
                .setDispatchChunk(
                        DispatchChunk.newBuilder()
                                .setRequestId(requestId)
                                .setAttempt(attempt)
                                .setSequence(sequence)
                                .setData(UnsafeByteOperations.unsafeWrap(data)))
                .build();
    }
}
