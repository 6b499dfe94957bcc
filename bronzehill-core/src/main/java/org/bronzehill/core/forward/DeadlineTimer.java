package org.bronzehill.core.forward;

import java.time.Duration;

/** Ends a call shortly after its deadline. */
final class DeadlineTimer {

    /**
     * Time after the deadline during which an upstream may still send its own answer before the
     * call is ended here.
     */
    private static final Duration GRACE = Duration.ofMillis(120);

    private final Forwarder forwarder;
    private final Runnable onDeadline;
    private Scheduler.Timer timer;

    DeadlineTimer(Forwarder forwarder, Runnable onDeadline) {
        this.forwarder = forwarder;
        this.onDeadline = onDeadline;
    }

    /**
     * @param deadlineNanos monotonic time of the deadline
     */
    void start(long deadlineNanos) {
        long left = Math.max(0, deadlineNanos - forwarder.now());
        timer = forwarder.after(Duration.ofNanos(left).plus(GRACE), onDeadline);
    }

    void cancel() {
        timer.cancel();
    }
}
