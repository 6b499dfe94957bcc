package org.bronzehill.core.budget;

/** Token bucket whose rate can change between refills. */
final class RateBucket {

    /**
     * Capacity beyond one token, as time at the current rate. Permits are issued in ticks of 50 ms;
     * with this reserve, no part of the rate is lost between ticks.
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
