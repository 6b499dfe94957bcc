package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Calls a task when an attempt has made no progress for some time, until the task has acted. */
final class StallTimer {

    /** Interval at which the task is called again for an attempt that it could not end. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(250);

    private final Forwarder forwarder;
    private final Supplier<Duration> timeout;
    private final BooleanSupplier onStalled;
    private Scheduler.Timer timer;
    private long lastProgressAt;

    /**
     * @param timeout longest time without progress; may change while the timer runs
     * @param onStalled returns whether the attempt was ended
     */
    StallTimer(Forwarder forwarder, Supplier<Duration> timeout, BooleanSupplier onStalled) {
        this.forwarder = forwarder;
        this.timeout = timeout;
        this.onStalled = onStalled;
    }

    /** Starts the timer for a new attempt. */
    void start() {
        cancel();
        onProgress();
        timer = forwarder.after(timeout.get(), this::check);
    }

    void onProgress() {
        lastProgressAt = forwarder.now();
    }

    /** Returns the time in ns since the last progress. */
    long silentNanos() {
        return forwarder.now() - lastProgressAt;
    }

    private void check() {
        long left = timeout.get().toNanos() - silentNanos();
        if (left > 0) {
            timer = forwarder.after(Duration.ofNanos(left), this::check);
        } else if (!onStalled.getAsBoolean()) {
            timer = forwarder.after(RECHECK_INTERVAL, this::check);
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
        }
    }
}
