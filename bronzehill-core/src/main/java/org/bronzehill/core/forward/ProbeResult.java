package org.bronzehill.core.forward;

/** What a new connection to an upstream has shown about the path to it. */
public enum ProbeResult {
    /** No connection was opened. */
    NOT_OPENED,

    /**
     * The connection was opened, but no answer came. A middlebox may have accepted it, or the
     * upstream accepts no further ones.
     */
    UNANSWERED,

    /** An answer has begun, whatever it says. */
    ANSWERED
}
