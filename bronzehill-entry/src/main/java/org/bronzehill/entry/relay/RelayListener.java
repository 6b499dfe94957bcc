package org.bronzehill.entry.relay;

/** Receives the events of the relay of answers to callers. */
public interface RelayListener {

    /** Called when chunks of an attempt have been added to the caller's answer. */
    void onProgress(String requestId, int attempt, long chunks);

    /**
     * Called when a failure that was detected outside the core, such as a disconnect, ends the
     * answer to a request. Not called for a refusal outside the core.
     */
    void onAborted(String requestId);

    /** Called exactly once for each request, when its answer has ended. */
    void onEnded(RequestOutcome outcome);
}
