package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Holds prompts back for a moment while an engine still reads others.
 *
 * <p>Answers a load in which prompts arrive in clusters: an engine reads them between the tokens of
 * its running streams, and a row of prompts without a gap makes every stream there pause longer
 * than its callers accept. Spread over the part of the target that a request can spare, the same
 * prompts leave the streams steps of their own.
 */
final class PromptGate {

    /**
     * Unread prompt tokens at an engine up to which another prompt is sent at once: what engines
     * commonly read in one or two steps.
     */
    private static final long MAX_UNREAD_TOKENS = 2048;

    /** Part of the target, counted from the arrival of the request, that may be spent here. */
    private static final double MAX_DELAY_FRACTION = 0.4;

    /** Interval between looks at the engine: about one of its steps. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(8);

    private PromptGate() {}

    /** Returns whether the request is to be kept back now. */
    static boolean shouldDelay(ForwardRequest request, UpstreamState upstream, long now) {
        long unread = upstream.totalUnreadTokens();
        return request.promptTokens() > 0
                && unread > 0
                && unread + request.promptTokens() > MAX_UNREAD_TOKENS
                && now - request.arrivedNanos()
                        < request.route().target().toNanos() * MAX_DELAY_FRACTION;
    }
}
