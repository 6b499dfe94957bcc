package org.bronzehill.entry.relay;

/** Receives what the core must know about the relay of an answer. */
public interface RelayListener {

    /** Chunks of an attempt have reached the caller's answer. */
    void progress(String requestId, int attempt, long chunks);

    /** The caller is gone or takes no more data. */
    void callerGone(String requestId);

    /** The answer has ended; called exactly once for each request. */
    void ended(RequestOutcome outcome);
}
