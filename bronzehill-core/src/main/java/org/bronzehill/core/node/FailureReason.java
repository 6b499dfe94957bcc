package org.bronzehill.core.node;

/** Why an attempt at an upstream failed, as far as the program can tell. */
public enum FailureReason {
    /** Nothing was written to the upstream's socket. */
    NOT_SENT(true),
    /** The upstream answered that it did not run the request, such as for an unknown handle. */
    REFUSED(true),
    /** The upstream ran the request and rejected its content. */
    REJECTED(false),
    /** The connection broke before the answer was complete. */
    BROKEN(false),
    /** The connection made no progress for the allowed time. */
    SILENT(false),
    /** The deadline passed. */
    TIMED_OUT(false),
    /** The attempt was cancelled on request. */
    CANCELLED(false);

    private final boolean notRun;

    FailureReason(boolean notRun) {
        this.notRun = notRun;
    }

    /** Returns whether the failure proves that the attempt had no effect. */
    public boolean provesNotRun() {
        return notRun;
    }
}
