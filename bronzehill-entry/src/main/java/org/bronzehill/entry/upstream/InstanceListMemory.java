package org.bronzehill.entry.upstream;

import io.vavr.control.Either;
import java.util.Arrays;
import org.bronzehill.core.model.InstanceList;

/**
 * Parses published instance lists and caches the last one, which is returned while the bytes are
 * unchanged. Bytes are compared rather than versions because the version is known only after
 * parsing. Used by one event loop only.
 */
final class InstanceListMemory {

    private byte[] lastJson = {};
    private InstanceList last;

    /** Parses a list, or returns the cached one; a left value is the reason of the failure. */
    Either<String, InstanceList> parse(byte[] json) {
        if (last != null && Arrays.equals(json, lastJson)) {
            return Either.right(last);
        }
        return InstanceListParser.parse(json)
                .peek(
                        list -> {
                            last = list;
                            lastJson = json;
                        });
    }
}
