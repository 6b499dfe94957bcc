package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Time that engines take to read prompt tokens, learned from the time between sending a request and
 * the first byte of its answer. In this time the engine reads the prompt of the request and those
 * that were sent before it.
 */
final class PromptReadTime {

    /**
     * Requests with fewer unread tokens before and including their own are ignored, since the fixed
     * time to the first token dominates.
     */
    private static final long MIN_UNREAD_TOKENS = 200;

    /** Factor by which earlier measurements decay with each new one. */
    private static final double DECAY = 0.98;

    /** Initial value, in milliseconds per prompt token. */
    private static final double INITIAL_MS_PER_TOKEN = 0.05;

    /** Number of tokens that the initial value counts for. */
    private static final double INITIAL_TOKENS = 20_000;

    /** Weight of one prompt in the average size. */
    private static final double SIZE_WEIGHT = 0.02;

    private double averagePromptTokens;
    private double totalTokens = INITIAL_TOKENS;
    private double totalMs = INITIAL_TOKENS * INITIAL_MS_PER_TOKEN;

    /**
     * Records the first byte of an answer.
     *
     * @param unreadTokens prompt tokens that the engine had not read when the request was sent,
     *     including those of the request
     * @param took time since the request was sent
     */
    void onFirstByte(long unreadTokens, Duration took) {
        if (unreadTokens >= MIN_UNREAD_TOKENS) {
            totalTokens = totalTokens * DECAY + unreadTokens;
            totalMs = totalMs * DECAY + took.toNanos() / 1e6;
        }
    }

    /** Records the size of a prompt that is sent to an engine. */
    void onPrompt(long tokens) {
        averagePromptTokens =
                averagePromptTokens == 0
                        ? tokens
                        : averagePromptTokens * (1 - SIZE_WEIGHT) + tokens * SIZE_WEIGHT;
    }

    /** Returns the expected time in ms until an idle engine has read a prompt of average size. */
    double averagePromptMs() {
        return averagePromptTokens * totalMs / totalTokens;
    }

    /** Returns the expected time in ms until an engine has read the given number of tokens. */
    double expectedMs(long unreadTokens) {
        return unreadTokens * totalMs / totalTokens;
    }
}
