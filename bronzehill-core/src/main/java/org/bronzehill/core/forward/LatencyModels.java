package org.bronzehill.core.forward;

import java.time.Duration;

/** Times that are learned from the answers to requests. */
final class LatencyModels {

    private final StallTimeouts stallTimeouts = new StallTimeouts();
    private final PromptReadTime promptReadTime = new PromptReadTime();
    private final AdapterWaitModel adapterWait;

    LatencyModels(AdapterWaitModel adapterWait) {
        this.adapterWait = adapterWait;
    }

    PromptReadTime promptReadTime() {
        return promptReadTime;
    }

    AdapterWaitModel adapterWait() {
        return adapterWait;
    }

    /** Returns how long an upstream may be silent before the request is sent to another one. */
    Duration stallTimeout(ForwardRequest request, boolean answerBegun) {
        return stallTimeouts.timeout(request.route(), answerBegun);
    }

    /**
     * @param unreadTokens prompt tokens that the upstream had not read when the request was sent
     */
    void onFirstByte(ForwardRequest request, long nanos, long unreadTokens) {
        stallTimeouts.onFirstByte(request.route(), nanos);
        promptReadTime.onFirstByte(unreadTokens, Duration.ofNanos(nanos));
        if (request.adapter().exists(a -> !a.isBase())) {
            adapterWait.onFirstEvent(Duration.ofNanos(nanos));
        }
    }

    void onSent(ForwardRequest request) {
        if (request.promptTokens() > 0) {
            promptReadTime.onPrompt(request.promptTokens());
        }
    }
}
