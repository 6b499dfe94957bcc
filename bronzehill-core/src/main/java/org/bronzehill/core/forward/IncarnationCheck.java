package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * Tells whether the incarnation that an upstream's record describes certainly still runs. Once a
 * connection to it was lost or could not be opened, it may have been started again under its
 * identifier and address, with another software version, before its new record is read.
 */
final class IncarnationCheck {

    /** Time after which a record that is read was written after the failed connection. */
    static final Duration RECORD_DELAY = Duration.ofSeconds(1);

    /** Time within which an upstream that has not crashed reports its start. */
    static final Duration CONFIRMATION_TIME = Duration.ofMillis(700);

    private enum State {
        CERTAIN,
        /** A connection was lost, and the upstream is asked for its start. */
        CHECKED,
        /** No connection could be opened, or the upstream has not reported its start. */
        DOUBTED,
        /** The upstream has reported a later start, so the record describes an earlier one. */
        RESTARTED
    }

    private final TimeSource time;
    private State state = State.CERTAIN;
    private long failedAt;

    IncarnationCheck(TimeSource time) {
        this.time = time;
    }

    /**
     * Records that a connection was lost.
     *
     * @return whether the incarnation was certain before
     */
    boolean onConnectionLost() {
        boolean wasCertain = isCertain();
        if (wasCertain) {
            fail(State.CHECKED);
        }
        return wasCertain;
    }

    /**
     * Records that no connection could be opened.
     *
     * @return whether the incarnation was certain before
     */
    boolean onUnreachable() {
        boolean wasCertain = isCertain();
        if (state != State.RESTARTED) {
            fail(State.DOUBTED);
        }
        return wasCertain;
    }

    /** Records that the upstream has not reported its start. */
    void onNoReport() {
        if (state == State.CHECKED) {
            state = State.DOUBTED;
        }
    }

    /** Records that the upstream has reported a later start than its record states. */
    void onLaterStart() {
        fail(State.RESTARTED);
    }

    private void fail(State next) {
        state = next;
        failedAt = time.nanoTime();
    }

    /** Records that a record of the same incarnation has been read. */
    void onRecord() {
        if (state != State.RESTARTED && elapsed() > RECORD_DELAY.toNanos()) {
            state = State.CERTAIN;
        }
    }

    /** Records that the upstream has reported the same incarnation after the failed connection. */
    void onReport() {
        if (state != State.RESTARTED) {
            state = State.CERTAIN;
        }
    }

    boolean isCertain() {
        return state == State.CERTAIN;
    }

    /** Returns whether the incarnation is certain, or is expected to be confirmed soon. */
    boolean isLikely() {
        return isCertain() || state == State.CHECKED && elapsed() <= CONFIRMATION_TIME.toNanos();
    }

    private long elapsed() {
        return time.nanoTime() - failedAt;
    }
}
