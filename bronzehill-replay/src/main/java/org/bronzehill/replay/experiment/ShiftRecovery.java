package org.bronzehill.replay.experiment;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.bronzehill.config.Limits;

/** Time that a policy needs after a full shift of popularity, against what the store allows. */
public final class ShiftRecovery {

    private static final long SECOND = 1_000_000_000L;
    private static final int WINDOW_SECONDS = 20;
    private static final double TOLERANCE = 1.1;

    private ShiftRecovery() {}

    /**
     * Compares the mean stall in windows after the shift with the mean stall in the same time
     * before it.
     */
    public static Targets.Check check(
            List<RequestOutcome> outcomes, Limits limits, long shiftNanos, long steadyFromNanos) {
        List<RequestOutcome> models = outcomes.stream().filter(RequestOutcome::isModel).toList();
        double steady = mean(models, steadyFromNanos, shiftNanos);
        long end = models.stream().mapToLong(RequestOutcome::arrived).max().orElse(shiftNanos);
        double allowed = 2 * storeSeconds(models, limits, shiftNanos, steadyFromNanos, end);
        long window = WINDOW_SECONDS * SECOND;
        double recovered = -1;
        for (long from = shiftNanos; from + window <= end; from += SECOND) {
            if (mean(models, from, from + window) <= TOLERANCE * steady) {
                recovered = (from - shiftNanos) / (double) SECOND;
                break;
            }
        }
        String text = "after a shift, mean stall within 10% of steady in twice the store's time";
        String measured =
                String.format(
                        Locale.ROOT,
                        "steady %.3f s; %s; allowed %.0f s",
                        steady,
                        recovered < 0
                                ? "not recovered in " + (end - shiftNanos) / SECOND + " s"
                                : "recovered after " + Math.round(recovered) + " s",
                        allowed);
        return new Targets.Check(text, measured, recovered >= 0 && recovered <= allowed);
    }

    private static double mean(List<RequestOutcome> models, long from, long to) {
        return models.stream()
                        .filter(o -> o.arrived() >= from && o.arrived() < to)
                        .mapToLong(RequestOutcome::stallNanos)
                        .average()
                        .orElse(0)
                / SECOND;
    }

    /**
     * Returns the time in which the store can load the fewest adapters that serve, after the shift,
     * the share of requests that found their adapter loaded before it.
     */
    private static double storeSeconds(
            List<RequestOutcome> models, Limits limits, long shift, long steadyFrom, long end) {
        double hits =
                models.stream()
                        .filter(o -> o.arrived() >= steadyFrom && o.arrived() < shift)
                        .mapToInt(o -> o.stallNanos() == 0 ? 1 : 0)
                        .average()
                        .orElse(0);
        Map<String, Integer> counts = new HashMap<>();
        models.stream()
                .filter(o -> o.arrived() >= shift && o.arrived() <= end)
                .forEach(o -> counts.merge(o.adapter(), 1, Integer::sum));
        int[] sorted = counts.values().stream().mapToInt(Integer::intValue).sorted().toArray();
        double wanted = hits * Arrays.stream(sorted).sum();
        int loads = 0;
        for (int i = sorted.length - 1; i >= 0 && wanted > 0; i--) {
            wanted -= sorted[i];
            loads++;
        }
        return Math.max(0, loads - limits.storeFullSpeed()) / limits.storeLoadsPerSecond();
    }
}
