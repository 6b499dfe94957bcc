package org.bronzehill.standin.internal;

import org.bronzehill.standin.Profile.StoreFigures;

/**
 * Computes the duration of transfers. Transfers start at the rate of the store; after an idle
 * period, {@code fullSpeed} of them may start without delay. A transfer takes proportionally longer
 * while more than {@code inFlight} transfers are in progress. Not thread-safe.
 */
final class TransferClock {

    private final StoreFigures figures;
    private final double transferMs;
    private int inFlight;
    private double nextStartMs = Double.NEGATIVE_INFINITY;

    private TransferClock(StoreFigures figures, double transferMs) {
        this.figures = figures;
        this.transferMs = transferMs;
    }

    static TransferClock of(StoreFigures figures, double transferMs) {
        return new TransferClock(figures, transferMs);
    }

    /** Begins a transfer and returns the time in ms until it completes. */
    double begin(double nowMs) {
        double periodMs = 1000 / figures.loadsPerSecond();
        // The virtual start time may lie in the past by the number of transfers that an idle store
        // starts without delay.
        double earliest = nowMs - (figures.fullSpeed() - 1) * periodMs;
        double start = Math.max(nextStartMs, earliest);
        nextStartMs = start + periodMs;
        inFlight++;
        double slowdown = Math.max(1.0, (double) inFlight / figures.inFlight());
        return Math.max(0, start - nowMs) + transferMs * slowdown;
    }

    void end() {
        inFlight--;
    }

    int inFlight() {
        return inFlight;
    }
}
