package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.config.Urgency;

/**
 * Estimates waits from measured times. Estimates about the store decay with time, so that requests
 * are not refused because of an overload that has ended.
 */
final class WaitEstimator {

    private static final double EWMA_GAIN = 0.1;
    private static final double PERMIT_EWMA_GAIN = 0.3;
    private static final double STORE_HALF_LIFE_NANOS = 1e9;

    /** Number of measured run times below which the estimate is not used to refuse a request. */
    private static final int MIN_SAMPLES = 8;

    private final double[] serviceNanos = new double[Urgency.values().length];
    private final int[] samples = new int[Urgency.values().length];
    private double meanServiceNanos = Duration.ofMillis(500).toNanos();
    private double loadNanos = Duration.ofMillis(250).toNanos();
    private double permitWaitNanos;
    private double grantIntervalNanos;
    private long lastGrantNanos = Long.MIN_VALUE;

    /** Records the run time of an attempt. */
    void recordRunTime(Urgency urgency, long nanos) {
        int c = urgency.ordinal();
        serviceNanos[c] =
                samples[c] == 0 ? nanos : serviceNanos[c] + EWMA_GAIN * (nanos - serviceNanos[c]);
        samples[c]++;
        meanServiceNanos += EWMA_GAIN * (nanos - meanServiceNanos);
    }

    /** Records the time of a load since its order was sent. */
    void recordLoadTime(long nanos) {
        loadNanos += EWMA_GAIN * (nanos - loadNanos);
    }

    /**
     * Records a grant.
     *
     * @param othersWaited whether other permit requests waited at the same time; only then does the
     *     interval between grants show the rate of the store budget
     */
    void recordGrant(long waitNanos, boolean othersWaited, long nowNanos) {
        permitWaitNanos += PERMIT_EWMA_GAIN * (waitNanos - permitWaitNanos);
        if (othersWaited && lastGrantNanos != Long.MIN_VALUE) {
            long interval = Math.min(nowNanos - lastGrantNanos, waitNanos);
            grantIntervalNanos += PERMIT_EWMA_GAIN * (interval - grantIntervalNanos);
        }
        lastGrantNanos = nowNanos;
    }

    /** Returns the expected run time of a request of the class; 0 if too few have been measured. */
    long serviceNanos(Urgency urgency) {
        int c = urgency.ordinal();
        return samples[c] < MIN_SAMPLES ? 0 : (long) serviceNanos[c];
    }

    /**
     * Returns the expected time until the batch has room for a new request if {@code running}
     * requests run and {@code ahead} requests wait before it.
     */
    long queueNanos(int ahead, int running, int batch) {
        int excess = ahead + running - batch + 1;
        return excess <= 0 ? 0 : (long) (meanServiceNanos * excess / Math.max(1, batch));
    }

    /** Returns the expected duration of a load that has its permit. */
    long loadNanos() {
        return (long) loadNanos;
    }

    /** Returns the expected time until a load requested now is complete. */
    long loadWaitNanos(int permitsAhead, double storeLoadsPerSecond, long nowNanos) {
        double idle = lastGrantNanos == Long.MIN_VALUE ? 0 : nowNanos - lastGrantNanos;
        double decay = Math.pow(0.5, idle / STORE_HALF_LIFE_NANOS);
        double interval =
                Math.max(grantIntervalNanos * decay, 1e9 / Math.max(0.1, storeLoadsPerSecond));
        double permitWait = permitsAhead == 0 ? permitWaitNanos * decay : 0;
        return (long) (permitWait + permitsAhead * interval + loadNanos);
    }

    /**
     * Returns whether permits are granted almost without waiting. The measured wait decays, so this
     * is also true if no permit was granted recently.
     */
    boolean storeIdle(long nowNanos) {
        double idle = lastGrantNanos == Long.MIN_VALUE ? 0 : nowNanos - lastGrantNanos;
        return permitWaitNanos * Math.pow(0.5, idle / STORE_HALF_LIFE_NANOS) < 100e6;
    }
}
