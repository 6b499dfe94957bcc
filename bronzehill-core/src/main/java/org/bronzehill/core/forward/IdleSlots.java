package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * Number of an engine's adapter slots that can be given to further adapters, less the loads that
 * wait for a slot, as its claim holder reports it.
 */
final class IdleSlots {

    /** Number returned while none is known: no load has to wait for a slot. */
    private static final int UNKNOWN = Integer.MAX_VALUE;

    /** Upper limit of reported slots and of loads that wait for one. */
    private static final int MAX_REPORTED = 100_000;

    /**
     * Time for which a reported number is used. Claim holders repeat it every second; after the
     * loss of one, other instances must not regard its engines as full for longer.
     */
    private static final Duration LIFETIME = Duration.ofMillis(2500);

    private final TimeSource time;
    private int count = UNKNOWN;
    private long reportedAt;

    IdleSlots(TimeSource time) {
        this.time = time;
    }

    /** Sets the number that the claim holder has reported. */
    void set(int reported) {
        count = Math.max(-MAX_REPORTED, Math.min(reported, MAX_REPORTED));
        reportedAt = time.nanoTime();
    }

    /** Counts a load that was requested here; the next report of the claim holder includes it. */
    void take() {
        if (isKnown()) {
            count--;
        }
    }

    /** Returns whether the claim holder has reported the number recently. */
    boolean isKnown() {
        return count != UNKNOWN && time.nanoTime() - reportedAt <= LIFETIME.toNanos();
    }

    /** Returns the number, negative if more loads wait than there are slots; large if unknown. */
    int count() {
        return isKnown() ? count : UNKNOWN;
    }

    /** Returns the number of loads that wait for a slot; 0 if unknown. */
    int waitingLoads() {
        return isKnown() ? Math.max(0, -count) : 0;
    }
}
