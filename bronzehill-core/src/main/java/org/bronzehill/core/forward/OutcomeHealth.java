package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * Judges an upstream by the outcomes of the requests sent to it, so that one that fails requests
 * while its health check passes loses its share. The failure rate decays with time, so that the
 * upstream is tried again.
 */
final class OutcomeHealth {

    /** Weight of one outcome; three failures in a row raise the rate above one half. */
    private static final double WEIGHT = 0.22;

    /** Half-life of the failure rate while no outcome is seen. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    /** First pause after a connection could not be opened. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(250);

    /** Longest pause: a restarted upstream must not stay unused for long. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

    private final TimeSource time;
    private double rate;
    private long rateAt;
    private int refusals;
    private long pausedUntil;

    OutcomeHealth(TimeSource time) {
        this.time = time;
        this.rateAt = time.nanoTime();
        this.pausedUntil = rateAt;
    }

    /** Notes that a request ended well, or failed through the upstream's fault. */
    void onOutcome(boolean good) {
        rate = failureRate() * (1 - WEIGHT) + (good ? 0 : WEIGHT);
        rateAt = time.nanoTime();
        if (good) {
            refusals = 0;
            pausedUntil = rateAt;
        }
    }

    /** Notes that no connection could be opened. */
    void onUnreachable() {
        onOutcome(false);
        long pause = FIRST_PAUSE.toNanos() << Math.min(refusals, 8);
        pausedUntil = time.nanoTime() + Math.min(pause, LONGEST_PAUSE.toNanos());
        refusals++;
    }

    /** Returns the share of recent requests that failed, between 0 and 1. */
    double failureRate() {
        return rate * Math.pow(0.5, (time.nanoTime() - rateAt) / HALF_LIFE_NANOS);
    }

    /** Returns whether the upstream is left alone for now. */
    boolean isPaused() {
        return time.nanoTime() - pausedUntil < 0;
    }
}
