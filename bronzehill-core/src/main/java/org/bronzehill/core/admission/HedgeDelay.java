package org.bronzehill.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Time after which a request without output is slow enough for a hedge. It follows the mean and the
 * mean deviation of the time to the first output of each kind.
 */
public final class HedgeDelay {

    private static final double GAIN = 0.05;
    private static final int MIN_SAMPLES = 20;

    /** Mean deviations above the mean; about the 98th percentile of an exponential distribution. */
    private static final double DEVIATIONS = 4;

    private static final int MAX_KINDS = 256;

    private final Map<String, Estimate> kinds = new HashMap<>();

    private HedgeDelay() {}

    /** Creates an estimate that knows nothing, so that nothing is hedged. */
    public static HedgeDelay create() {
        return new HedgeDelay();
    }

    /** Notes the time to the first output of a request. */
    public void onFirstOutput(String kind, Duration elapsed) {
        if (kinds.size() >= MAX_KINDS && !kinds.containsKey(kind)) {
            return;
        }
        Estimate e = kinds.computeIfAbsent(kind, k -> new Estimate());
        double x = elapsed.toNanos();
        if (e.samples++ == 0) {
            e.mean = x;
            e.deviation = x / 2;
        } else {
            e.deviation += GAIN * (Math.abs(x - e.mean) - e.deviation);
            e.mean += GAIN * (x - e.mean);
        }
    }

    /** Returns whether a request that has waited this long may be hedged. */
    public boolean isSlow(String kind, Duration elapsed) {
        Estimate e = kinds.get(kind);
        return e != null
                && e.samples >= MIN_SAMPLES
                && elapsed.toNanos() > e.mean + DEVIATIONS * e.deviation;
    }

    private static final class Estimate {
        private double mean;
        private double deviation;
        private int samples;
    }
}
