package org.bronzehill.core.forward;

/** Outcome of a request that resumes a stream. */
public enum ResumeOutcome {
    /** An upstream has continued the stream. */
    CONTINUED("continued"),

    /** The request was refused and has not run. */
    REFUSED("refused"),

    /** The request ended without an event, and may have run. */
    FAILED("failed");

    private final String label;

    ResumeOutcome(String label) {
        this.label = label;
    }

    /** Returns the name in metrics. */
    public String label() {
        return label;
    }
}
