package org.bronzehill.core.forward;

/** Defines whether requests of a route may run again, and whether their answers are streams. */
public enum RequestKind {
    IDEMPOTENT(true, false),
    /** At most one run for each request of a caller; a caller's retry is another request. */
    ONCE_ONLY(false, false),
    /** Stream of events; at most one run. */
    STREAM(false, true),
    /** Stream of events; another run may continue after the last event that was passed on. */
    RESUMABLE_STREAM(true, true);

    private final boolean repeatable;
    private final boolean stream;

    RequestKind(boolean repeatable, boolean stream) {
        this.repeatable = repeatable;
        this.stream = stream;
    }

    /** Returns whether a request that may have run may be sent to another upstream. */
    public boolean isRepeatable() {
        return repeatable;
    }

    /** Returns whether the answer is a series of events. */
    public boolean isStream() {
        return stream;
    }
}
