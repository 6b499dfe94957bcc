package org.bronzehill.core.forward;

/**
 * Moving average of the time that engines take to read prompts, measured from sending a request to
 * the first byte of its answer. Answers that are not streams are included.
 */
final class PrefillTime {

    /** Prompts shorter than this are ignored, since the fixed time to the first token dominates. */
    private static final long MIN_PROMPT_TOKENS = 200;

    /** Weight of one prompt in the moving average. */
    private static final double AVERAGE_WEIGHT = 0.02;

    /** Initial value, in milliseconds per prompt token. */
    private static final double INITIAL_MS_PER_TOKEN = 0.05;

    private double msPerToken = INITIAL_MS_PER_TOKEN;

    void onFirstByte(long promptTokens, long nanos) {
        if (promptTokens >= MIN_PROMPT_TOKENS) {
            msPerToken =
                    msPerToken * (1 - AVERAGE_WEIGHT) + nanos / 1e6 / promptTokens * AVERAGE_WEIGHT;
        }
    }

    /**
     * Returns the average time from sending a request to the first byte of its answer, in
     * milliseconds per prompt token. It is an estimate of the delay that one more prompt token
     * causes.
     */
    double msPerToken() {
        return msPerToken;
    }
}
