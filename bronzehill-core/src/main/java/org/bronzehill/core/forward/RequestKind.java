package org.bronzehill.core.forward;

/** What may be done again with the requests of a route. */
public enum RequestKind {
    IDEMPOTENT(true, false),
    /** At most one run for each attempt of a caller. */
    ONCE_ONLY(false, false),
    /** Events as they are made; at most one run. */
    STREAM(false, true),
    /**
     * Events as they are made; another run may continue after the last event that was passed on.
     */
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
