package org.bronzehill.core.engine;

import org.bronzehill.config.Urgency;
import org.bronzehill.core.admission.Entitlement;
import org.bronzehill.core.admission.FairQueue;

/** An admitted request that waits for the engine or runs on it. */
final class AdmittedRequest {

    private final EngineRequest request;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private Entitlement entitlement;
    private long stallSinceNanos = -1;
    private long stallNanos;
    private int requeues;

    /** Entry in the queue; null while the request is not queued. */
    FairQueue.Entry<AdmittedRequest> entry;

    /** Demand for the adapter version for which the request waits; null while it is not queued. */
    AdapterDemand adapter;

    AdmittedRequest(EngineRequest request, Entitlement entitlement, long nowNanos) {
        this.request = request;
        this.entitlement = entitlement;
        this.arrivedNanos = nowNanos;
        this.deadlineNanos = nowNanos + request.deadline().toNanos();
    }

    EngineRequest request() {
        return request;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    Entitlement entitlement() {
        return entitlement;
    }

    void setEntitlement(Entitlement newEntitlement) {
        entitlement = newEntitlement;
    }

    Urgency urgency() {
        return entitlement.kind().urgency();
    }

    /**
     * Returns whether the request is still queued. A loop over a snapshot of the queue must check
     * this, because a listener may have ended the request meanwhile.
     */
    boolean isQueued() {
        return entry != null;
    }

    /** Starts a load stall, unless one has started. */
    void startStall(long nowNanos) {
        if (stallSinceNanos < 0) {
            stallSinceNanos = nowNanos;
        }
    }

    /** Ends the load stall, if one has started. */
    void endStall(long nowNanos) {
        if (stallSinceNanos >= 0) {
            stallNanos += nowNanos - stallSinceNanos;
            stallSinceNanos = -1;
        }
    }

    /**
     * Returns how long the request has waited for its adapter to be loaded, including a stall in
     * progress.
     */
    long stallNanos(long nowNanos) {
        return stallNanos + (stallSinceNanos < 0 ? 0 : nowNanos - stallSinceNanos);
    }

    /** Counts an attempt that did not run and returns the number of such attempts. */
    int countRequeue() {
        return ++requeues;
    }
}
