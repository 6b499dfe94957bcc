package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Checks the calls that wait at this instance, as long as there are any. */
final class WaitingCallTimer {

    /** Interval of the checks: a fifth of the shortest targets, which are about 120 ms. */
    private static final Duration INTERVAL = Duration.ofMillis(25);

    private final Scheduler scheduler;
    private final BooleanSupplier check;
    private boolean started;

    /**
     * @param check checks the calls; returns whether any still wait
     */
    WaitingCallTimer(Scheduler scheduler, BooleanSupplier check) {
        this.scheduler = scheduler;
        this.check = check;
    }

    /** Schedules the next check unless it is scheduled already. */
    void start() {
        if (!started) {
            started = true;
            scheduler.after(INTERVAL, this::run);
        }
    }

    private void run() {
        started = false;
        if (check.getAsBoolean()) {
            start();
        }
    }
}
