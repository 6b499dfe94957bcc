package org.bronzehill.entry.upstream;

import io.vavr.control.Either;
import java.util.Arrays;
import org.bronzehill.core.model.InstanceList;

/**
 * Parses published instance lists and caches the last one, which is returned while the bytes are
 * unchanged. Bytes are compared rather than versions because the version is known only after
 * parsing. Used by one event loop only.
 */
final class InstanceListCache {

    private byte[] cachedJson = {};
    private InstanceList cachedList;

    /** Parses a list, or returns the cached one; a left value is the reason of the failure. */
    Either<String, InstanceList> parse(byte[] json) {
        if (cachedList != null && Arrays.equals(json, cachedJson)) {
            return Either.right(cachedList);
        }
        return InstanceListParser.parse(json)
                .peek(
                        list -> {
                            cachedList = list;
                            cachedJson = json;
                        });
    }
}
