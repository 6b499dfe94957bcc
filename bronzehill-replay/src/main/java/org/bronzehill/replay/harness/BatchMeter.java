package org.bronzehill.replay.harness;

/** Integrates how many requests an engine runs and how long it runs any. */
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

    /** Returns the time during which at least one request ran. */
    public long busyNanos() {
        return busyNanos;
    }

    /** Returns the sum over all requests of the time they ran. */
    public long workNanos() {
        return workNanos;
    }
}
