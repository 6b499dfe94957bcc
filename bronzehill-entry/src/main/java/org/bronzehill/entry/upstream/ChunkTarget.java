package org.bronzehill.entry.upstream;

/**
 * Destination of the chunks of an attempt: a caller of this instance, or the peer that received the
 * request (the origin).
 */
@FunctionalInterface
public interface ChunkTarget {

    /** Sends a chunk; returns false if it cannot be queued, in which case the attempt must fail. */
    boolean sendChunk(long sequence, byte[] data);
}
