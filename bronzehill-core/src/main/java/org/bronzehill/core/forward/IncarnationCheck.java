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

    private final TimeSource time;
    private boolean doubted;
    private long unreachableAt;

    IncarnationCheck(TimeSource time) {
        this.time = time;
    }

    /**
     * Records that no connection could be opened.
     *
     * @return whether the incarnation was certain before
     */
    boolean onUnreachable() {
        boolean wasCertain = !doubted;
        doubted = true;
        unreachableAt = time.nanoTime();
        return wasCertain;
    }

    /** Records that a record of the same incarnation has been read. */
    void onRecord() {
        if (doubted && elapsed() > RECORD_DELAY.toNanos()) {
            doubted = false;
        }
    }

    /** Records that the upstream has reported the same incarnation after the failed connection. */
    void onReport() {
        doubted = false;
    }

    boolean isCertain() {
        return !doubted;
    }

    private long elapsed() {
        return time.nanoTime() - unreachableAt;
    }
}
