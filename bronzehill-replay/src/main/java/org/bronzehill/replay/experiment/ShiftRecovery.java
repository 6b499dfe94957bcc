package org.bronzehill.replay.experiment;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.bronzehill.config.Limits;

/**
 * Checks how long a policy needs to recover from a complete shift of adapter popularity, compared
 * with the time that the weight store needs to load the newly popular adapters.
 */
public final class ShiftRecovery {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int WINDOW_SECONDS = 20;
    private static final double MAX_STALL_RATIO = 1.1;

    private ShiftRecovery() {}

    /**
     * Checks that the mean stall in some window after the shift is close to the mean stall in the
     * steady state before it, and that the window begins within the allowed time.
     */
    public static Targets.Check check(
            List<RequestOutcome> outcomes, Limits limits, long shiftNanos, long steadyFromNanos) {
        List<RequestOutcome> models =
                outcomes.stream().filter(RequestOutcome::isModelRequest).toList();
        double steadyStall = meanStallSeconds(models, steadyFromNanos, shiftNanos);
        long end = models.stream().mapToLong(RequestOutcome::arrivedNanos).max().orElse(shiftNanos);
        double allowedSeconds =
                2 * minStoreSeconds(models, limits, shiftNanos, steadyFromNanos, end);
        long windowNanos = WINDOW_SECONDS * NANOS_PER_SECOND;
        double recoveredAfterSeconds = -1;
        for (long from = shiftNanos; from + windowNanos <= end; from += NANOS_PER_SECOND) {
            if (meanStallSeconds(models, from, from + windowNanos)
                    <= MAX_STALL_RATIO * steadyStall) {
                recoveredAfterSeconds = (from - shiftNanos) / (double) NANOS_PER_SECOND;
                break;
            }
        }
        String text =
                "after a shift, mean stall within 10% of steady state in twice the store's load time";
        String measured =
                String.format(
                        Locale.ROOT,
                        "steady %.3f s; %s; allowed %.0f s",
                        steadyStall,
                        recoveredAfterSeconds < 0
                                ? "not recovered in " + (end - shiftNanos) / NANOS_PER_SECOND + " s"
                                : "recovered after " + Math.round(recoveredAfterSeconds) + " s",
                        allowedSeconds);
        return new Targets.Check(
                text,
                measured,
                recoveredAfterSeconds >= 0 && recoveredAfterSeconds <= allowedSeconds);
    }

    private static double meanStallSeconds(List<RequestOutcome> models, long from, long to) {
        return models.stream()
                        .filter(o -> o.arrivedNanos() >= from && o.arrivedNanos() < to)
                        .mapToLong(RequestOutcome::stallNanos)
                        .average()
                        .orElse(0)
                / NANOS_PER_SECOND;
    }

    /**
     * Returns the time that the weight store needs to restore the hit rate, which is the share of
     * requests that found their adapter loaded. It is the time to load the fewest adapters whose
     * joint share of the requests after the shift is at least the hit rate before the shift.
     */
    private static double minStoreSeconds(
            List<RequestOutcome> models, Limits limits, long shift, long steadyFrom, long end) {
        double hits =
                models.stream()
                        .filter(o -> o.arrivedNanos() >= steadyFrom && o.arrivedNanos() < shift)
                        .mapToInt(o -> o.stallNanos() == 0 ? 1 : 0)
                        .average()
                        .orElse(0);
        Map<String, Integer> counts = new HashMap<>();
        models.stream()
                .filter(o -> o.arrivedNanos() >= shift && o.arrivedNanos() <= end)
                .forEach(o -> counts.merge(o.adapter(), 1, Integer::sum));
        int[] sorted = counts.values().stream().mapToInt(Integer::intValue).sorted().toArray();
        double remainingHits = hits * Arrays.stream(sorted).sum();
        int loads = 0;
        for (int i = sorted.length - 1; i >= 0 && remainingHits > 0; i--) {
            remainingHits -= sorted[i];
            loads++;
        }
        return Math.max(0, loads - limits.storeFullSpeed()) / limits.storeLoadsPerSecond();
    }
}
