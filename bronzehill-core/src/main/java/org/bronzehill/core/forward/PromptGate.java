package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Delays prompts briefly while an engine still reads others.
 *
 * <p>When prompts arrive in clusters, an engine reads them between the decoding steps of its
 * running streams. If it reads many prompts in immediate succession, every stream there pauses
 * longer than its callers accept. Each prompt may therefore be delayed for a part of the target of
 * its request, so that the engine runs decoding steps between the prompts.
 */
final class PromptGate {

    /**
     * Number of unread prompt tokens at an engine, including those of the new prompt, up to which
     * the prompt is sent at once: what engines commonly read in one or two steps.
     */
    private static final long MAX_UNREAD_TOKENS = 2048;

    /**
     * Part of the target, counted from the arrival of the request, for which a prompt may be
     * delayed.
     */
    private static final double MAX_DELAY_FRACTION = 0.4;

    /** Interval at which a delayed prompt is checked again: about one step of the engine. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(8);

    private PromptGate() {}

    /** Returns whether the request must be delayed now. */
    static boolean shouldDelay(ForwardRequest request, UpstreamState upstream, long now) {
        long unread = upstream.totalUnreadTokens();
        return request.promptTokens() > 0
                && unread > 0
                && unread + request.promptTokens() > MAX_UNREAD_TOKENS
                && now - request.arrivedNanos()
                        < request.route().target().toNanos() * MAX_DELAY_FRACTION;
    }
}
