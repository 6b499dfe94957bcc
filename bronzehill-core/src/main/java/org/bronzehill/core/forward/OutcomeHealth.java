package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * Rates an upstream by the outcomes of the requests sent to it, so that an upstream that fails
 * requests while its health check passes receives fewer of them. The failure rate decays with time,
 * so that the upstream is tried again.
 */
final class OutcomeHealth {

    /**
     * Weight of one outcome in the failure rate; three failures in a row raise the rate above one
     * half.
     */
    private static final double OUTCOME_WEIGHT = 0.22;

    /** Half-life of the failure rate while no outcome is seen. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Pause after the first connection that could not be opened; doubles with each further one. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(250);

    /** Longest pause; a restarted upstream must not stay unused for long. */
    private static final Duration MAX_PAUSE = Duration.ofSeconds(2);

    private final TimeSource time;
    private double failureRate;
    private long updatedAt;
    private int connectFailures;
    private long pausedUntil;
    private long requestedPauseUntil;

    OutcomeHealth(TimeSource time) {
        this.time = time;
        this.updatedAt = time.nanoTime();
        this.pausedUntil = updatedAt;
        this.requestedPauseUntil = updatedAt;
    }

    /** Records whether a request succeeded, or failed through the upstream's fault. */
    void onOutcome(boolean succeeded) {
        failureRate = failureRate() * (1 - OUTCOME_WEIGHT) + (succeeded ? 0 : OUTCOME_WEIGHT);
        updatedAt = time.nanoTime();
        if (succeeded) {
            connectFailures = 0;
            pausedUntil = updatedAt;
        }
    }

    /** Records that no connection could be opened. */
    void onUnreachable() {
        onOutcome(false);
        long pause = MIN_PAUSE.toNanos() << Math.min(connectFailures, 8);
        pausedUntil = time.nanoTime() + Math.min(pause, MAX_PAUSE.toNanos());
        connectFailures++;
    }

    /** Returns the share of recent requests that failed, between 0 and 1. */
    double failureRate() {
        return failureRate * Math.pow(0.5, (time.nanoTime() - updatedAt) / HALF_LIFE_NANOS);
    }

    /**
     * Records that the upstream wants no requests for some time. Unlike a pause after a failure,
     * this one does not end with the next success.
     */
    void onPauseRequested(Duration pause) {
        long until = time.nanoTime() + pause.toNanos();
        if (until - requestedPauseUntil > 0) {
            requestedPauseUntil = until;
        }
    }

    /** Returns whether the upstream receives no requests for now. */
    boolean isPaused() {
        return time.nanoTime() - pausedUntil < 0 || isPausedOnRequest();
    }

    /** Returns whether the upstream has stated that it wants no requests for now. */
    boolean isPausedOnRequest() {
        return requestedPauseLeft().toNanos() > 0;
    }

    /** Returns how long the upstream still wants no requests; zero or less if it wants them. */
    Duration requestedPauseLeft() {
        return Duration.ofNanos(requestedPauseUntil - time.nanoTime());
    }
}
