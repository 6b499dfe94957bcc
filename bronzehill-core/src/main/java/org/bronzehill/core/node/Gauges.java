package org.bronzehill.core.node;

import java.time.Duration;
import org.bronzehill.core.lease.LeaseManager;

/** Reports the present values that no component reports itself. */
final class Gauges {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final CoreContext context;
    private final HeldEngines engines;
    private final LeaseManager leases;
    private long nextNanos;

    Gauges(CoreContext context, HeldEngines engines, LeaseManager leases) {
        this.context = context;
        this.engines = engines;
        this.leases = leases;
        this.nextNanos = context.time().nanoTime();
    }

    void onTick(Effects out) {
        long now = context.time().nanoTime();
        if (now - nextNanos < 0) {
            return;
        }
        nextNanos = now + INTERVAL.toNanos();
        measure(CoreMetric.RETRY_BUDGET_TOKENS, context.retries().tokens(), out);
        measure(CoreMetric.LEASES_HELD, leases.heldResources().size(), out);
        measure(CoreMetric.QUEUE_LENGTH, engines.inFlight(), out);
    }

    private static void measure(CoreMetric signal, double value, Effects out) {
        out.add(new Effect.RecordMetric(signal, "", value));
    }
}
