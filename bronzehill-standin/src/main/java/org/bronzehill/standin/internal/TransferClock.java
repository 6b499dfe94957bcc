package org.bronzehill.standin.internal;

import org.bronzehill.standin.Profile.StoreFigures;

/**
 * Computes when a transfer arrives. Transfers start at the store's rate, with {@code fullSpeed} of
 * them at once after a pause; a transfer takes proportionally longer while more than {@code
 * inFlight} are in flight. Not thread-safe.
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

    /** Begins a transfer and returns the time until it arrives, in ms. */
    double begin(double nowMs) {
        double periodMs = 1000 / figures.loadsPerSecond();
        // The virtual start time may lag behind by the transfers that a rested store starts at
        // once.
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
