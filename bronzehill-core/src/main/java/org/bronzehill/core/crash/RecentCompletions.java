package org.bronzehill.core.crash;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Times at which runs of requests were last completed, by fingerprint. A request that crashes each
 * upstream which runs it never completes, so crashes about the time of a completion have another
 * cause.
 */
final class RecentCompletions {

    /**
     * Time after a completion within which crashes are not counted. It covers crashes that end all
     * runs at once, and delays of messages.
     */
    static final Duration VALIDITY = Duration.ofSeconds(1);

    private static final int MAX_FINGERPRINTS = 8192;

    private final Map<ByteString, Long> completedAt =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<ByteString, Long> eldest) {
                    return size() > MAX_FINGERPRINTS;
                }
            };

    void record(ByteString fingerprint, long atNanos) {
        completedAt.merge(fingerprint, atNanos, (a, b) -> a - b > 0 ? a : b);
    }

    /** Returns whether a completion shows that the request did not cause a crash. */
    boolean refutes(ByteString fingerprint, long crashNanos) {
        Long completed = completedAt.get(fingerprint);
        return completed != null && crashNanos - lastRefuted(completed) <= 0;
    }

    /** Returns the time of the last completion of a request with this fingerprint. */
    long lastCompletion(ByteString fingerprint) {
        return completedAt.get(fingerprint);
    }

    /** Returns the time up to which crashes are refuted by a completion. */
    static long lastRefuted(long completedNanos) {
        return completedNanos + VALIDITY.toNanos();
    }
}
