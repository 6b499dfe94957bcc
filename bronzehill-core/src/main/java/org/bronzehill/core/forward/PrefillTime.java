package org.bronzehill.core.forward;

/** Time that engines take to read prompts, from the first events of streams. */
final class PrefillTime {

    /** Prompts shorter than this say little, since the first token takes its time in any case. */
    private static final long MIN_PROMPT_TOKENS = 200;

    /** Weight of one prompt in the average. */
    private static final double AVERAGE_WEIGHT = 0.02;

    /** Pace assumed at first, in milliseconds for each token. */
    private static final double INITIAL_MS_PER_TOKEN = 0.05;

    private double msPerToken = INITIAL_MS_PER_TOKEN;

    void onFirstEvent(long promptTokens, long nanos) {
        if (promptTokens >= MIN_PROMPT_TOKENS) {
            msPerToken =
                    msPerToken * (1 - AVERAGE_WEIGHT) + nanos / 1e6 / promptTokens * AVERAGE_WEIGHT;
        }
    }

    /** Returns the milliseconds that one more token adds to the first event of a stream. */
    double msPerToken() {
        return msPerToken;
    }
}
