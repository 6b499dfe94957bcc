package org.bronzehill.core.time;

import java.time.InstantSource;

/** Wall clock and monotonic clock of one process. */
public interface TimeSource extends InstantSource {

    /**
     * Returns the monotonic time in nanoseconds since an arbitrary origin; it is unaffected by
     * changes of the wall clock and keeps running while the process is paused.
     */
    long nanoTime();
}
