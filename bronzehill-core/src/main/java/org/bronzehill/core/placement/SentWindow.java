package org.bronzehill.core.placement;

import java.time.Duration;

/**
 * Attempts that this instance sent to an engine and that the engine's last summary cannot contain.
 */
final class SentWindow {

    private static final int CAPACITY = 64;

    /** A summary may miss what was sent this shortly before it arrived: one round trip. */
    private static final long IN_TRANSIT_NANOS = Duration.ofMillis(10).toNanos();

    /** Entries end at this age even if no summary arrives any more. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(6).toNanos();

    private final long[] ids = new long[CAPACITY];
    private final long[] times = new long[CAPACITY];
    private int size;

    void sent(long id, long nowNanos) {
        if (size == CAPACITY) {
            drop(1);
        }
        ids[size] = id;
        times[size++] = nowNanos;
    }

    /** Removes an attempt that has ended. */
    void ended(long id) {
        for (int i = 0; i < size; i++) {
            if (ids[i] == id) {
                System.arraycopy(ids, i + 1, ids, i, size - i - 1);
                System.arraycopy(times, i + 1, times, i, size - i - 1);
                size--;
                return;
            }
        }
    }

    /** Removes what a summary that has arrived now contains. */
    void summarised(long nowNanos) {
        dropBefore(nowNanos - IN_TRANSIT_NANOS);
    }

    /** Removes what is too old to be in transit. */
    void expire(long nowNanos) {
        dropBefore(nowNanos - MAX_AGE_NANOS);
    }

    private void dropBefore(long nanos) {
        int count = 0;
        while (count < size && times[count] < nanos) {
            count++;
        }
        drop(count);
    }

    private void drop(int count) {
        System.arraycopy(ids, count, ids, 0, size - count);
        System.arraycopy(times, count, times, 0, size - count);
        size -= count;
    }

    int size() {
        return size;
    }
}
