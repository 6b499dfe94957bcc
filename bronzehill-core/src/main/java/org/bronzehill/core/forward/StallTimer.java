package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.function.Supplier;

/** Calls a task once when an attempt has made no progress for some time. */
final class StallTimer {

    private final Forwarder forwarder;
    private final Supplier<Duration> timeout;
    private final Runnable onStalled;
    private Scheduler.Timer timer;
    private long lastProgressAt;

    /**
     * @param timeout longest time without progress; may change while the timer runs
     */
    StallTimer(Forwarder forwarder, Supplier<Duration> timeout, Runnable onStalled) {
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
        } else {
            onStalled.run();
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
        }
    }
}
