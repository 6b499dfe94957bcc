package org.bronzehill.core.node;

/** Observed reason for which an attempt at an upstream failed. */
public enum FailureReason {
    /** Nothing was written to the upstream's socket. */
    NOT_SENT(true),
    /** The upstream reported that it did not run the request, for example for an unknown handle. */
    REFUSED(true),
    /** The upstream ran the request and rejected its content. */
    REJECTED(false),
    /** The connection broke before the answer was complete. */
    BROKEN(false),
    /** No data arrived within the idle timeout. */
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
