package org.bronzehill.core.admission;

/**
 * Token bucket that limits retries and hedges to a fraction of the new requests of one entry
 * instance, so that retries cannot sustain an overload.
 */
public final class RetryBudget {

    private static final double RETRIES_PER_REQUEST = 0.1;

    /**
     * Capacity of the bucket. It covers the retries after full batches of 32 requests have failed
     * on three engines, and limits the burst of retries after a period with few failures.
     */
    private static final double MAX_SAVED_RETRIES = 100;

    /** Retries allowed before any request has been counted, for an instance with little traffic. */
    private static final double INITIAL_RETRIES = 10;

    private final double ratio;
    private double capacity;
    private double tokens;

    private RetryBudget(double ratio, double capacity, double initial) {
        this.ratio = ratio;
        this.capacity = capacity;
        this.tokens = initial;
    }

    /** Creates a budget of one retry for every ten new requests. */
    public static RetryBudget create() {
        return new RetryBudget(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES, INITIAL_RETRIES);
    }

    /**
     * Creates a budget that starts full.
     *
     * @param ratio number of retries that each new request earns
     * @param capacity maximum number of saved retries
     */
    public static RetryBudget of(double ratio, double capacity) {
        return new RetryBudget(ratio, capacity, capacity);
    }

    /** Counts a new request, which is neither a retry nor a hedge. */
    public void onNewRequest() {
        earn(ratio);
    }

    /** Adds retries up to the capacity, for new requests or for time that has passed. */
    public void earn(double retries) {
        tokens = Math.min(capacity, tokens + retries);
    }

    /** Changes the maximum number of saved retries. */
    public void setCapacity(double newCapacity) {
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes one token; returns false, and takes nothing, if less than one is left. */
    public boolean tryTake() {
        // The tolerance compensates for rounding: ten additions of 0.1 must yield one token.
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    /** Returns the number of retries allowed now. */
    public double tokens() {
        return tokens;
    }
}
