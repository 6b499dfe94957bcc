package org.bronzehill.core.forward;

/** Prompt of a request, which counts as unread at its upstream until the answer begins. */
final class PendingPrompt {

    private final long tokens;
    private UpstreamState upstream;
    private long unreadTokensWhenSent;

    PendingPrompt(long tokens) {
        this.tokens = tokens;
    }

    /** Counts the prompt at the upstream to which the request is sent. */
    void begin(UpstreamState at) {
        upstream = at;
        upstream.beginPrompt(tokens);
        unreadTokensWhenSent = upstream.totalUnreadTokens();
    }

    /** Ends the count, if it has not ended yet. */
    void end() {
        if (upstream != null) {
            upstream.endPrompt(tokens);
            upstream = null;
        }
    }

    /** Returns the prompt tokens that the upstream had not read when the request was sent. */
    long unreadTokensWhenSent() {
        return unreadTokensWhenSent;
    }
}
