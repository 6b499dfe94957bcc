package org.bronzehill.cli;

/** Exit status of the command line. */
public enum ExitStatus {
    OK(0),
    /**
     * The command could not do its work, such as for an unreadable file or an unreachable instance.
     */
    FAILED(1),
    /** The declaration, patch or trace has errors. */
    INVALID(2),
    /** The patch names a stale number. */
    STALE(3),
    /** Nothing was found, or a replayed record differs. */
    MISMATCH(4);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    /** Returns the number given to the shell. */
    public int code() {
        return code;
    }
}
