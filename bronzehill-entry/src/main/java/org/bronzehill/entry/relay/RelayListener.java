package org.bronzehill.entry.relay;

/** Receives the events of the relay of answers to callers. */
public interface RelayListener {

    /** Called when chunks of an attempt have been added to the caller's answer. */
    void onProgress(String requestId, int attempt, long chunks);

    /** Called when the answer ends without a result from the core, such as after a disconnect. */
    void onAborted(String requestId);

    /** Called exactly once for each request, when its answer has ended. */
    void onEnded(RequestOutcome outcome);
}
