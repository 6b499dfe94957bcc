package org.bronzehill.core.forward;

import java.time.Duration;

/** Moving average of the time from sending a request of a route to the first byte of its answer. */
final class AverageLatency {

    /** Weight of one answer in the moving average. */
    private static final double AVERAGE_WEIGHT = 0.05;

    private double nanos;

    /**
     * @param target target latency of the route; a quarter of it is the initial value
     */
    AverageLatency(Duration target) {
        this.nanos = target.toNanos() / 4.0;
    }

    void add(long measuredNanos) {
        nanos = nanos * (1 - AVERAGE_WEIGHT) + measuredNanos * AVERAGE_WEIGHT;
    }

    Duration average() {
        return Duration.ofNanos((long) nanos);
    }
}
