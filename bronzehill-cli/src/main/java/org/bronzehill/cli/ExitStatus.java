package org.bronzehill.cli;

/** Exit statuses of commands. */
public enum ExitStatus {
    OK(0),
    /** The command failed, for example because of an unreadable file or an unreachable instance. */
    FAILED(1),
    /** The declaration or patch has errors. */
    INVALID(2),
    /** The patch was made for a number other than the current one. */
    STALE(3),
    /**
     * No audit record was found, or a replay violated a check or differs from its expected
     * outcomes.
     */
    NOT_AS_EXPECTED(4);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return code;
    }
}
