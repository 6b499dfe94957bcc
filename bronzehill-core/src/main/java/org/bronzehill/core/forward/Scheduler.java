package org.bronzehill.core.forward;

import java.time.Duration;

/** Runs tasks later on the thread that makes the decisions. */
public interface Scheduler {

    /** Task that has been scheduled. */
    interface Timer {
        /** Prevents the task from running; has no effect afterwards. */
        void cancel();
    }

    /** Runs the task once after the delay. */
    Timer after(Duration delay, Runnable task);
}
