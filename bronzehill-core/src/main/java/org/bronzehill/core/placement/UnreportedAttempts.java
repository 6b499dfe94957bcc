package org.bronzehill.core.placement;

import java.time.Duration;

/**
 * Attempts that this instance has sent to an engine and that the engine's last summary may not
 * include. They are added to the counts of the summary, so that the router does not send all
 * requests to the engine that the summary shows as least loaded.
 */
final class UnreportedAttempts {

    private static final int MAX_ATTEMPTS = 64;

    /**
     * One round trip. A summary may lack the attempts that were sent within this time before it
     * arrived.
     */
    private static final long REPORT_TRANSIT_NANOS = Duration.ofMillis(10).toNanos();

    /** Age at which attempts are removed even if no further summary arrives. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(6).toNanos();

    private final long[] ids = new long[MAX_ATTEMPTS];
    private final long[] sentNanos = new long[MAX_ATTEMPTS];
    private int size;

    void add(long id, long nowNanos) {
        if (size == MAX_ATTEMPTS) {
            removeOldest(1);
        }
        ids[size] = id;
        sentNanos[size++] = nowNanos;
    }

    /** Removes an attempt that has ended. */
    void remove(long id) {
        for (int i = 0; i < size; i++) {
            if (ids[i] == id) {
                System.arraycopy(ids, i + 1, ids, i, size - i - 1);
                System.arraycopy(sentNanos, i + 1, sentNanos, i, size - i - 1);
                size--;
                return;
            }
        }
    }

    /** Removes the attempts that are included in a summary received now. */
    void removeReported(long nowNanos) {
        removeOlderThan(nowNanos - REPORT_TRANSIT_NANOS);
    }

    /** Removes attempts that have exceeded the maximum age. */
    void removeExpired(long nowNanos) {
        removeOlderThan(nowNanos - MAX_AGE_NANOS);
    }

    private void removeOlderThan(long limitNanos) {
        int count = 0;
        while (count < size && sentNanos[count] < limitNanos) {
            count++;
        }
        removeOldest(count);
    }

    private void removeOldest(int count) {
        System.arraycopy(ids, count, ids, 0, size - count);
        System.arraycopy(sentNanos, count, sentNanos, 0, size - count);
        size -= count;
    }

    int size() {
        return size;
    }
}
