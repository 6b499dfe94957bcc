package org.bronzehill.entry.upstream;

import io.vavr.control.Either;
import java.util.Arrays;
import org.bronzehill.core.model.InstanceList;

/**
 * Parses published instance lists, and returns the last one again while its bytes are unchanged.
 * The bytes are compared, not the version, because the version is known only after parsing. Used by
 * one event loop.
 */
final class InstanceListMemory {

    private byte[] lastJson = {};
    private InstanceList last;

    /** Parses a list; a left value says why it cannot be used. */
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
