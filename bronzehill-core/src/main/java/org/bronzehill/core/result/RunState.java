package org.bronzehill.core.result;

/** Whether the request behind a result has produced an effect. */
public enum RunState {
    /** The request ran to completion. */
    RUN,
    /** The request has produced no effect on any instance or upstream, and will not. */
    NOT_RUN,
    /**
     * The request may have produced its effect. For a once-only act, a lookup at the application
     * service shows whether it has.
     */
    MAY_HAVE_RUN
}
