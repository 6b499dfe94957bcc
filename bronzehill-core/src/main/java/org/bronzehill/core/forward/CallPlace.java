package org.bronzehill.core.forward;

import java.time.Duration;

/** Place of a call at an upstream, from its assignment until the attempt there has ended. */
final class CallPlace {

    private final Forwarder forwarder;
    private final PendingPrompt prompt;
    private UpstreamState upstream;
    private boolean awaitsAdapter;
    private boolean sent;
    private long sentAt;

    CallPlace(Forwarder forwarder, long promptTokens) {
        this.forwarder = forwarder;
        this.prompt = new PendingPrompt(promptTokens);
    }

    /** Returns the upstream; null if the call is not assigned to one. */
    UpstreamState upstream() {
        return upstream;
    }

    /** Returns the monotonic time at which the request was last sent. */
    long sentAt() {
        return sentAt;
    }

    PendingPrompt prompt() {
        return prompt;
    }

    void reserve(UpstreamState chosen, ForwardRequest request) {
        upstream = chosen;
        if (upstream.addRequest(request)) {
            forwarder.onAdapterUseChanged(upstream, request.adapter().get());
        }
    }

    void beginAdapterWait(ForwardRequest request) {
        awaitsAdapter = true;
        upstream.beginAdapterWait(request.adapter().get());
    }

    void endAdapterWait(ForwardRequest request) {
        if (awaitsAdapter) {
            awaitsAdapter = false;
            upstream.endAdapterWait(request.adapter().get());
        }
    }

    void onSent() {
        sent = true;
        sentAt = forwarder.now();
    }

    /** Gives the place to other calls. */
    void release(ForwardRequest request) {
        if (upstream == null) {
            return;
        }
        prompt.end();
        endAdapterWait(request);
        if (sent && request.adapter().exists(a -> !a.isBase())) {
            Duration used = Duration.ofNanos(forwarder.now() - sentAt);
            forwarder.latencies().adapterWait().onUseEnded(used);
        }
        sent = false;
        UpstreamState released = upstream;
        upstream = null;
        if (released.removeRequest(request)) {
            forwarder.onAdapterUseChanged(released, request.adapter().get());
        }
        forwarder.queues().dispatch(request.service());
    }
}
