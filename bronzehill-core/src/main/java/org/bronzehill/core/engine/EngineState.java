package org.bronzehill.core.engine;

import org.bronzehill.config.Configuration;
import org.bronzehill.config.Policy;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.model.Upstream;

/** State and context shared by the components of one engine's scheduler. */
final class EngineState {

    private final Lease lease;
    private final SchedulerContext context;
    private final RequestQueue queue = new RequestQueue();
    private final WaitEstimator waitEstimator = new WaitEstimator();

    /** Description of the engine in the latest instance list. */
    Upstream upstream;

    /** Set when the lease has been lost; the same scheduler never regains it. */
    boolean leaseLost;

    /** Set while this instance prepares its planned stop. */
    boolean draining;

    /** No attempt is started before this time, because an earlier one could not be sent. */
    long noStartsBeforeNanos = Long.MIN_VALUE;

    /**
     * Time since which reading the engine's reports has failed; negative if the last read
     * succeeded.
     */
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

    String engineId() {
        return upstream.id();
    }

    int batch() {
        return upstream.engineProperties().batchSize();
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
     * Returns whether this instance holds the engine's lease now. Called immediately before each
     * order or attempt, because the lease can expire at any time.
     */
    boolean holdsLease() {
        return !leaseLost && context.leases().holds(lease.resource());
    }

    /** Returns whether the engine can be given new work. */
    boolean acceptsWork() {
        return !leaseLost && upstream.acceptsWork() && !isUnreachable();
    }

    /**
     * Returns whether the engine has been unreachable for so long that its queued requests are
     * better served elsewhere: at one report each 250 ms, eight reports could not be read.
     */
    boolean isUnreachable() {
        return reportFailuresSinceNanos >= 0
                && now() - reportFailuresSinceNanos > UNREACHABLE_AFTER_NANOS;
    }
}
