package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * Tells whether the incarnation that an upstream's record describes certainly still runs. Once no
 * connection to it could be opened, it may have been started again under its identifier and
 * address, with another software version, before its new record is read.
 */
final class IncarnationCheck {

    /** Time after which a record that is read was written after the failed connection. */
    static final Duration RECORD_DELAY = Duration.ofSeconds(1);

    /** Time after which the record of a new incarnation would have been read. */
    static final Duration MAX_DOUBT = Duration.ofSeconds(5);

    private final TimeSource time;
    private boolean doubted;
    private long unreachableAt;

    IncarnationCheck(TimeSource time) {
        this.time = time;
    }

    /** Records that no connection could be opened. */
    void onUnreachable() {
        doubted = true;
        unreachableAt = time.nanoTime();
    }

    /** Records that a record of the same incarnation has been read. */
    void onRecord() {
        if (doubted && elapsed() > RECORD_DELAY.toNanos()) {
            doubted = false;
        }
    }

    boolean isCertain() {
        return !doubted || elapsed() > MAX_DOUBT.toNanos();
    }

    private long elapsed() {
        return time.nanoTime() - unreachableAt;
    }
}
