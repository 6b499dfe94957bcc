package org.bronzehill.core.time;

import java.time.Instant;

/** Time source backed by the clocks of the operating system. */
public final class SystemTimeSource implements TimeSource {

    private static final SystemTimeSource INSTANCE = new SystemTimeSource();

    private SystemTimeSource() {}

    /** Returns the shared instance. */
    public static SystemTimeSource instance() {
        return INSTANCE;
    }

    @Override
    public Instant instant() {
        return Instant.now();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }
}
