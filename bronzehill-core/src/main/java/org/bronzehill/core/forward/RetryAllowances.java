package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.bronzehill.core.admission.RetryBudget;
import org.bronzehill.core.time.TimeSource;

/**
 * This instance's part of the retry budget of each service. Every instance earns retries by its own
 * requests and receives an equal part of the retries per window, so that the sum over all instances
 * stays within the retries per request and per window that {@link ForwardSettings} allows a
 * service. The instances exchange no messages for this.
 */
final class RetryAllowances {

    /**
     * Part of the allowed retries that is used. The rest covers instances whose view of the fleet
     * size is outdated.
     */
    private static final double BUDGET_FRACTION = 0.8;

    /**
     * Part of the retries per window that may be saved up. The other part is earned over the
     * window.
     */
    private static final double SAVED_RETRIES_FRACTION = 0.5;

    /**
     * Time for which a larger fleet size is kept, since instances that vanish may only be
     * partitioned.
     */
    private static final Duration FLEET_SIZE_RETENTION = Duration.ofSeconds(60);

    private final ForwardSettings settings;
    private final TimeSource time;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private int fleetSize = 1;
    private long fleetSizeReachedAt;
    private long earnedAt;

    RetryAllowances(ForwardSettings settings, TimeSource time) {
        this.settings = settings;
        this.time = time;
        this.earnedAt = time.nanoTime();
        this.fleetSizeReachedAt = earnedAt;
    }

    void onRequest(String service) {
        budget(service).onNewRequest();
    }

    boolean tryTake(String service) {
        return budget(service).tryTake();
    }

    /** Adds the retries earned since the last tick. */
    void onTick(int liveInstances) {
        long now = time.nanoTime();
        if (liveInstances >= fleetSize
                || now - fleetSizeReachedAt > FLEET_SIZE_RETENTION.toNanos()) {
            fleetSize = Math.max(1, liveInstances);
            fleetSizeReachedAt = now;
            budgets.values().forEach(b -> b.setCapacity(savedRetries()));
        }
        double windows = (double) (now - earnedAt) / settings.retryWindow().toNanos();
        earnedAt = now;
        budgets.values()
                .forEach(
                        b -> b.earn(retriesPerInstance() * (1 - SAVED_RETRIES_FRACTION) * windows));
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                s -> RetryBudget.of(settings.retryRatio() * BUDGET_FRACTION, savedRetries()));
    }

    private double savedRetries() {
        return retriesPerInstance() * SAVED_RETRIES_FRACTION;
    }

    private double retriesPerInstance() {
        return settings.retriesPerWindow() * BUDGET_FRACTION / fleetSize;
    }
}
