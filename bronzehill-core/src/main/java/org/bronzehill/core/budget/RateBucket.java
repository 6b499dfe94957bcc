package org.bronzehill.core.budget;

/** Token bucket whose rate may change between two refills. */
final class RateBucket {

    /** Ticks are 50 ms apart; a bucket that holds 100 ms of a high rate loses nothing to them. */
    private static final double CAPACITY_SECONDS = 0.1;

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
        tokens = Math.min(Math.max(1, perSecond * CAPACITY_SECONDS), tokens + gained);
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
