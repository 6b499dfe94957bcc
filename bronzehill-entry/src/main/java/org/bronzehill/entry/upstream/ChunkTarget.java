package org.bronzehill.entry.upstream;

/** Destination of the chunks of an attempt: a local caller or the peer that is the origin. */
@FunctionalInterface
public interface ChunkTarget {

    /** Passes a chunk on; false if it cannot be queued, in which case the attempt must fail. */
    boolean chunk(long sequence, byte[] data);
}
