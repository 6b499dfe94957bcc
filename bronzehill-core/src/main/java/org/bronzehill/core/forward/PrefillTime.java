package org.bronzehill.core.forward;

/** Time that engines take to read prompts, from the first events of streams. */
final class PrefillTime {

    /** Prompts shorter than this say little, since the first token takes its time in any case. */
    private static final long MIN_TOKENS = 200;

    /** Weight of one prompt in the average. */
    private static final double WEIGHT = 0.02;

    /** Pace assumed at first, in milliseconds for each token. */
    private static final double INITIAL_MS = 0.05;

    private double msPerToken = INITIAL_MS;

    void add(long promptTokens, long nanos) {
        if (promptTokens >= MIN_TOKENS) {
            msPerToken = msPerToken * (1 - WEIGHT) + nanos / 1e6 / promptTokens * WEIGHT;
        }
    }

    /** Returns the milliseconds that one more token adds to the first event of a stream. */
    double msPerToken() {
        return msPerToken;
    }
}
