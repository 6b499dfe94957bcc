package org.bronzehill.core.budget;

/** Token bucket whose rate may change between two refills. */
final class RateBucket {

    /**
     * Permits are issued in ticks of 50 ms. A bucket that holds this time's tokens besides the next
     * whole one loses none of the rate to the ticks.
     */
    private static final double TICK_SECONDS = 0.1;

    private double tokens;
    private long refilledAt;

    RateBucket(long now) {
        empty(now);
    }

    void empty(long now) {
        tokens = 0;
        refilledAt = now;
    }

    void refill(double perSecond, long now) {
        double gained = perSecond * (now - refilledAt) / 1e9;
        refilledAt = now;
        tokens = Math.min(1 + perSecond * TICK_SECONDS, tokens + gained);
    }

    boolean take() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    void giveBack() {
        tokens += 1;
    }
}
