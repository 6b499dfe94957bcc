package org.bronzehill.replay.harness;

/** Measures the busy time of an engine and the total run time of its requests. */
public final class BatchMeter {

    private long since;
    private int running;
    private long busyNanos;
    private long workNanos;

    void update(long now, int nextRunning) {
        long elapsed = now - since;
        if (running > 0) {
            busyNanos += elapsed;
            workNanos += elapsed * running;
        }
        since = now;
        running = nextRunning;
    }

    /** Returns the time in which at least one request ran. */
    public long busyNanos() {
        return busyNanos;
    }

    /** Returns the sum of the run times of all requests. */
    public long workNanos() {
        return workNanos;
    }
}
