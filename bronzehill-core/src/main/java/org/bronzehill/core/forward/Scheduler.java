package org.bronzehill.core.forward;

import java.time.Duration;

/** Schedules tasks on the thread that makes the decisions. */
public interface Scheduler {

    /** Task that has been scheduled. */
    interface Timer {
        /** Prevents the task from running. Has no effect once the task has run. */
        void cancel();
    }

    /** Runs the task once after the delay. */
    Timer after(Duration delay, Runnable task);
}
