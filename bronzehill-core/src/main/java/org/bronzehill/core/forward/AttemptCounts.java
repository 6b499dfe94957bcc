package org.bronzehill.core.forward;

/** Counts the attempts of a call. */
final class AttemptCounts {

    /** Number of attempts not run by their upstreams up to which the call is dispatched again. */
    private static final int MAX_NOT_RUN = 4;

    private int mayHaveRun;
    private int notRun;

    /** Counts an attempt that is sent. Returns its number. */
    int onSent() {
        mayHaveRun++;
        return mayHaveRun + notRun;
    }

    /** Records that the last attempt has not run. */
    void onNotRun() {
        mayHaveRun--;
        notRun++;
    }

    /** Returns the number of attempts that have run, may have run, or are running. */
    int mayHaveRun() {
        return mayHaveRun;
    }

    boolean anyMayHaveRun() {
        return mayHaveRun > 0;
    }

    int notRun() {
        return notRun;
    }

    /** Returns whether the call may be dispatched again after an attempt that has not run. */
    boolean mayDispatchAgain() {
        return notRun <= MAX_NOT_RUN;
    }
}
