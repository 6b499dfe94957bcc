package org.bronzehill.core.forward;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.protocol.generated.LoadDigest;

/**
 * Splits a digest into parts that each fit into one packet. Only the first part contains the loads.
 */
final class DigestParts {

    /** Largest content of a part: a packet of 1,500 bytes, less room for names and headers. */
    private static final int MAX_BYTES = 1200;

    private final List<LoadDigest> full = new ArrayList<>();
    private final LoadDigest.Builder continuation;
    private LoadDigest.Builder part;
    private int bytes;

    DigestParts(LoadDigest.Builder first) {
        this.part = first;
        this.bytes = first.build().getSerializedSize();
        this.continuation = first.clone().clearLoads().setFurtherPart(true);
    }

    /** Returns the part that has room for the message. */
    LoadDigest.Builder partFor(MessageLite message) {
        int size = message.getSerializedSize();
        if (bytes + size > MAX_BYTES) {
            full.add(part.build());
            part = continuation.clone();
            bytes = 0;
        }
        bytes += size;
        return part;
    }

    /** Returns all parts. Nothing can be added afterwards. */
    List<LoadDigest> finish() {
        full.add(part.build());
        return full;
    }
}
