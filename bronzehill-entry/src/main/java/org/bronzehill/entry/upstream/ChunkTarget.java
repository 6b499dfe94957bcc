package org.bronzehill.entry.upstream;

/**
 * Passes the chunks of an attempt to the origin, which is the instance that received the request:
 * to the caller if the origin is this instance, otherwise to a peer.
 */
@FunctionalInterface
public interface ChunkTarget {

    /** Sends a chunk; returns false if it cannot be queued, in which case the attempt must fail. */
    boolean sendChunk(long sequence, byte[] data);
}
