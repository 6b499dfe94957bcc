package org.bronzehill.core.engine;

import org.bronzehill.config.Urgency;
import org.bronzehill.core.admission.Entitlement;
import org.bronzehill.core.admission.FairQueue;

/** A request that waits for its engine or runs on it. */
final class QueuedRequest {

    private final EngineRequest request;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private Entitlement entitlement;
    private long stallSince = -1;
    private long stallNanos;
    private int requeues;

    /** Place in the queue; null while the request is not queued. */
    FairQueue.Entry<QueuedRequest> entry;

    /** Adapter version for which the request waits; null while the request is not queued. */
    AdapterState adapter;

    QueuedRequest(EngineRequest request, Entitlement entitlement, long nowNanos) {
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

    /** Returns whether the request still waits; a listener may have ended it meanwhile. */
    boolean isQueued() {
        return entry != null;
    }

    /** Starts the load stall, unless it has started. */
    void startStall(long nowNanos) {
        if (stallSince < 0) {
            stallSince = nowNanos;
        }
    }

    /** Ends the load stall, if one has started. */
    void endStall(long nowNanos) {
        if (stallSince >= 0) {
            stallNanos += nowNanos - stallSince;
            stallSince = -1;
        }
    }

    /** Returns how long the request has waited for its adapter, including a stall that lasts. */
    long stallNanos(long nowNanos) {
        return stallNanos + (stallSince < 0 ? 0 : nowNanos - stallSince);
    }

    /** Counts an attempt that did not run and returns how many there were. */
    int countRequeue() {
        return ++requeues;
    }
}
