package org.bronzehill.core.forward;

import java.time.Duration;

/** Moves a call to another upstream when an attempt has made no progress for some time. */
final class StallTimer {

    /** Interval at which a call that could not be moved is looked at again. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(250);

    private final Forwarder forwarder;
    private final ForwardCall call;
    private Scheduler.Timer timer;
    private long lastProgressAt;

    StallTimer(Forwarder forwarder, ForwardCall call) {
        this.forwarder = forwarder;
        this.call = call;
    }

    /** Starts the timer for a new attempt. */
    void start() {
        cancel();
        onProgress();
        timer = forwarder.after(timeout(), this::check);
    }

    void onProgress() {
        lastProgressAt = forwarder.now();
    }

    /** Returns the time in ns since the last progress. */
    long silentNanos() {
        return forwarder.now() - lastProgressAt;
    }

    /** Returns whether there was no progress for longer than the timeout. */
    boolean isOverdue() {
        return silentNanos() >= timeout().toNanos();
    }

    /** Returns the longest time without progress, which changes while the timer runs. */
    private Duration timeout() {
        return forwarder.latencies().stallTimeout(call.request(), call.hasAnswerBegun());
    }

    private void check() {
        if (!isOverdue()) {
            timer = forwarder.after(timeout().minus(Duration.ofNanos(silentNanos())), this::check);
        } else if (!call.moveIfStalled()) {
            forwarder.queues().addStalled(call);
            timer = forwarder.after(RECHECK_INTERVAL, this::check);
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
        }
    }
}
