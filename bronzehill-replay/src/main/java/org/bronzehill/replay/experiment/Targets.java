package org.bronzehill.replay.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.bronzehill.replay.baseline.EngineChoice;

/** Checks the targets of section 10 of docs/design.md. */
public final class Targets {

    private static final double STALL_PERCENTILE = 0.95;

    private Targets() {}

    /**
     * Result of checking a target.
     *
     * @param met null if the target cannot be decided because the reference value is 0 and the
     *     measured one is not
     */
    public record Check(String text, String measured, Boolean met) {

        @Override
        public String toString() {
            String verdict = met == null ? "undecided" : met ? "met" : "missed";
            return verdict + ": " + text + " (" + measured + ")";
        }
    }

    /** Returns the checks that apply to the deployment of the result. */
    public static List<Check> check(Experiment.Result r) {
        List<Check> checks = new ArrayList<>();
        PolicyResult policy = r.policy(Experiment.POLICY);
        if (r.deployment().name().startsWith("driftless")) {
            long stall = policy.stallPercentile(STALL_PERCENTILE, r.interactiveModelRequests());
            long leastLoadedStall =
                    r.policy(EngineChoice.LEAST_LOADED.label())
                            .stallPercentile(STALL_PERCENTILE, r.interactiveModelRequests());
            checks.add(
                    atMost(
                            "p95 load stall of route chat at most 0.2 times that of least-loaded",
                            stall,
                            leastLoadedStall,
                            0.2));
            checks.add(
                    atMost(
                            "p95 load stall of route chat at most 2 times the clairvoyant bound",
                            stall,
                            r.stallBound(),
                            2));
            checks.add(
                    atMost(
                            "p95 load stall of route chat at most 2 times the bound without prefetch",
                            stall,
                            r.stallBoundWithoutPrefetch(),
                            2));
        } else {
            checks.add(
                    atLeast(
                            "batch efficiency at least 0.9 times the bound",
                            policy,
                            r.batchBound()));
            checks.add(
                    atLeast(
                            "batch efficiency at least 0.9 times the bound without delays",
                            policy,
                            r.batchBoundWithoutDelays()));
            double best =
                    r.policies().stream()
                            .filter(p -> p != policy)
                            .mapToDouble(PolicyResult::batchEfficiency)
                            .max()
                            .orElse(0);
            checks.add(
                    new Check(
                            "batch efficiency above every baseline",
                            number(policy.batchEfficiency()) + " against " + number(best),
                            policy.batchEfficiency() > best));
        }
        checks.add(urgentMisses(r, policy));
        return checks;
    }

    private static Check atLeast(String text, PolicyResult policy, double bound) {
        double ratio = policy.batchEfficiency() / bound;
        String measured =
                number(policy.batchEfficiency()) + " / " + number(bound) + " = " + number(ratio);
        return new Check(text, measured, ratio >= 0.9);
    }

    private static Check urgentMisses(Experiment.Result r, PolicyResult policy) {
        long urgent = policy.outcomes().stream().filter(o -> isUrgent(r, o)).count();
        long missed = policy.outcomes().stream().filter(o -> isUrgent(r, o) && !o.inTime()).count();
        return new Check(
                "no deadline of an urgent kind is missed", missed + " of " + urgent, missed == 0);
    }

    private static boolean isUrgent(Experiment.Result r, RequestOutcome o) {
        return Experiment.isInteractive(r.deployment(), o.kind());
    }

    private static Check atMost(String text, long value, long reference, double factor) {
        String measured =
                number(value / 1e9)
                        + " s / "
                        + number(reference / 1e9)
                        + " s"
                        + (reference == 0 ? "" : " = " + number((double) value / reference));
        Boolean met = reference == 0 && value > 0 ? null : value <= factor * reference;
        return new Check(text, measured, met);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
