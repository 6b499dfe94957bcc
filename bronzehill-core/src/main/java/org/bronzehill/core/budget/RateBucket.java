package org.bronzehill.core.budget;

/** Token bucket whose rate may change between two refills. */
final class RateBucket {

    /**
     * Permits are issued in ticks of 50 ms. A bucket that holds this time's tokens besides the next
     * whole one loses none of the rate to the ticks.
     */
    private static final double EXTRA_CAPACITY_SECONDS = 0.1;

    private double tokens;
    private long lastRefillNanos;

    RateBucket(long now) {
        reset(now);
    }

    void reset(long now) {
        tokens = 0;
        lastRefillNanos = now;
    }

    void refill(double perSecond, long now) {
        double gained = perSecond * (now - lastRefillNanos) / 1e9;
        lastRefillNanos = now;
        tokens = Math.min(1 + perSecond * EXTRA_CAPACITY_SECONDS, tokens + gained);
    }

    boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    void returnToken() {
        tokens += 1;
    }
}
