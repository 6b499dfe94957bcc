package org.bronzehill.core.node;

import java.time.Duration;
import org.bronzehill.core.lease.LeaseManager;

/**
 * Records the gauges for retry budget, held leases and queue length once per second. The queue
 * length includes the running requests.
 */
final class Gauges {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final CoreContext context;
    private final LeasedEngines engines;
    private final LeaseManager leases;
    private long nextReportNanos;

    Gauges(CoreContext context, LeasedEngines engines, LeaseManager leases) {
        this.context = context;
        this.engines = engines;
        this.leases = leases;
        this.nextReportNanos = context.time().nanoTime();
    }

    void onTick(Effects out) {
        long now = context.time().nanoTime();
        if (now - nextReportNanos < 0) {
            return;
        }
        nextReportNanos = now + INTERVAL.toNanos();
        measure(CoreMetric.RETRY_BUDGET_TOKENS, context.retryBudget().tokens(), out);
        measure(CoreMetric.LEASES_HELD, leases.heldResources().size(), out);
        measure(CoreMetric.QUEUE_LENGTH, engines.inFlight(), out);
    }

    private static void measure(CoreMetric metric, double value, Effects out) {
        out.add(new Effect.RecordMetric(metric, "", value));
    }
}
