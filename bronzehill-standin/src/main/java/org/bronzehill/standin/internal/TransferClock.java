package org.bronzehill.standin.internal;

import org.bronzehill.standin.Profile.StoreParameters;

/**
 * Computes the duration of transfers. Transfers start at the rate of the store; after an idle
 * period, {@code fullSpeed} of them may start without delay. A transfer takes proportionally longer
 * if more than {@code inFlight} transfers, including itself, are in progress when it begins. Not
 * thread-safe.
 */
final class TransferClock {

    private final StoreParameters parameters;
    private final double transferMs;
    private int inFlight;
    private double nextStartMs = Double.NEGATIVE_INFINITY;

    private TransferClock(StoreParameters parameters, double transferMs) {
        this.parameters = parameters;
        this.transferMs = transferMs;
    }

    static TransferClock of(StoreParameters parameters, double transferMs) {
        return new TransferClock(parameters, transferMs);
    }

    /** Begins a transfer and returns the time in ms until it completes. */
    double begin(double nowMs) {
        double periodMs = 1000 / parameters.loadsPerSecond();
        // The virtual start time may lie up to fullSpeed - 1 periods in the past, so that an idle
        // store starts fullSpeed transfers without delay.
        double earliest = nowMs - (parameters.fullSpeed() - 1) * periodMs;
        double start = Math.max(nextStartMs, earliest);
        nextStartMs = start + periodMs;
        inFlight++;
        double slowdown = Math.max(1.0, (double) inFlight / parameters.inFlight());
        return Math.max(0, start - nowMs) + transferMs * slowdown;
    }

    void end() {
        inFlight--;
    }

    int inFlight() {
        return inFlight;
    }
}
