package org.bronzehill.core.admission;

/**
 * Token bucket that limits retries and hedges to a share of the new requests of one entry instance,
 * so that retries cannot keep an overload alive.
 */
public final class RetryBudget {

    private static final double RATIO = 0.1;

    /**
     * Largest number of saved retries. It covers the failure of one engine with a full batch of 32
     * on each of three engines, and bounds the burst after a long quiet time.
     */
    private static final double CAPACITY = 100;

    /** Retries allowed before any request was counted, for an instance with little traffic. */
    private static final double INITIAL = 10;

    private double tokens = INITIAL;

    private RetryBudget() {}

    /** Creates a budget of one retry for every ten new requests. */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /** Counts a new request, which is neither a retry nor a hedge. */
    public void onNewRequest() {
        tokens = Math.min(CAPACITY, tokens + RATIO);
    }

    /** Takes one token; returns false, and takes nothing, if there is none. */
    public boolean tryTake() {
        // The tolerance makes ten additions of 0.1 count as one token.
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    /** Returns the number of retries that are allowed now. */
    public double tokens() {
        return tokens;
    }
}
