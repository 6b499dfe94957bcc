package org.bronzehill.entry.runtime;

import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;

/** Readiness signal for the load balancer, and completion of a graceful shutdown. */
public final class Readiness {

    private static final Logger LOG = Logger.getLogger(Readiness.class);

    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean ready;
    private volatile String reason = "starting";

    /**
     * Sets the readiness signal.
     *
     * @param newReason why the instance is not ready; empty if it is
     */
    public void set(boolean newReady, String newReason) {
        ready = newReady;
        reason = newReason;
        LOG.infof("readiness is %s%s", newReady, newReason.isEmpty() ? "" : ": " + newReason);
    }

    /** Marks the graceful shutdown as complete. */
    public void markDrained() {
        drained.complete(null);
    }

    /** Returns a future that completes when the graceful shutdown is complete. */
    public CompletableFuture<Void> whenDrained() {
        return drained;
    }

    /** Returns whether the load balancer may send new requests. */
    public boolean isReady() {
        return ready;
    }

    /** Returns why the instance is not ready; empty if it is. */
    public String reason() {
        return reason;
    }
}
