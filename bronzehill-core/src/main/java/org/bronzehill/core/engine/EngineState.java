package org.bronzehill.core.engine;

import org.bronzehill.config.Configuration;
import org.bronzehill.config.Policy;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.model.Upstream;

/** What the parts of one engine's scheduler share. */
final class EngineState {

    private final Lease lease;
    private final SchedulerContext context;
    private final RequestQueue queue = new RequestQueue();
    private final WaitEstimator waitEstimator = new WaitEstimator();

    /** Description of the engine in the latest instance list. */
    Upstream upstream;

    /** Set when the lease was lost; it is never regained under the same scheduler. */
    boolean leaseLost;

    /** Set when this instance prepares its planned stop. */
    boolean draining;

    /** Time until which no attempt is started, after one that could not be sent. */
    long noStartsBeforeNanos = Long.MIN_VALUE;

    /** Time since which the engine's reports could not be read; negative if they can. */
    long reportFailuresSinceNanos = -1;

    private static final long UNREACHABLE_AFTER_NANOS = 2_000_000_000L;

    EngineState(Upstream upstream, Lease lease, SchedulerContext context) {
        this.upstream = upstream;
        this.lease = lease;
        this.context = context;
    }

    Lease lease() {
        return lease;
    }

    SchedulerContext context() {
        return context;
    }

    RequestQueue queue() {
        return queue;
    }

    WaitEstimator waitEstimator() {
        return waitEstimator;
    }

    String engine() {
        return upstream.id();
    }

    int batch() {
        return upstream.shape().batchSize();
    }

    long now() {
        return context.time().nanoTime();
    }

    Configuration configuration() {
        return context.configuration().get();
    }

    Policy policy() {
        return configuration().policy();
    }

    long nextId() {
        return context.ids().next();
    }

    /**
     * Returns whether an order or attempt may be given to the engine at this moment; asked
     * immediately before each one.
     */
    boolean holdsLease() {
        return !leaseLost && context.leases().holds(lease.resource());
    }

    /** Returns whether the engine may be given new work. */
    boolean acceptsWork() {
        return !leaseLost && upstream.acceptsWork() && !isUnreachable();
    }

    /**
     * Returns whether the engine has been unreachable for so long that its queue is better served
     * elsewhere: eight reports of 250 ms could not be read.
     */
    boolean isUnreachable() {
        return reportFailuresSinceNanos >= 0
                && now() - reportFailuresSinceNanos > UNREACHABLE_AFTER_NANOS;
    }
}
