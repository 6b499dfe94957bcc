package org.bronzehill.core.forward;

/** How an instance knows where a stream began. */
public enum OriginSource {
    /** An answer of this instance began or continued the stream. */
    OWN("own"),

    /** Another instance has reported the stream when its answer began. */
    REPORTED("reported"),

    /** Another instance has answered the question of this one. */
    ASKED("asked"),

    /** No instance knows the stream, and only one software version can have begun it. */
    ONLY_VERSION("only-version"),

    /** No instance knows the stream, and the identifier of its request leads to one version. */
    IDENTIFIER("identifier"),

    /** No instance knows the stream, and several software versions can have begun it. */
    UNKNOWN("unknown");

    private final String label;

    OriginSource(String label) {
        this.label = label;
    }

    /** Returns the name in logs and metrics. */
    public String label() {
        return label;
    }
}
