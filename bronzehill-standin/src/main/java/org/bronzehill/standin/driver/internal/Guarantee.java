package org.bronzehill.standin.driver.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.model.AdapterVersion;

/** Guarantees of section 1 of docs/design.md, checked on the observations of a run. */
public enum Guarantee {
    P1("a request runs on the entitled adapter and version", Guarantee::checkEntitlement),
    P2(
            "no adapter is evicted while a request uses it",
            observed -> new Verdict(observed.totalRuns(), observed.cutOffRequests())),
    P3("a caller gets the complete answer to its own request", Guarantee::checkCompleteness),
    P4("a request that is refused as not run has not run", Guarantee::checkNotRun),
    P5("a once-only act runs at most once", Guarantee::checkOnceOnly),
    P6("a leaving upstream gets no new work", Guarantee::checkLeaving),
    P7("a planned stop interrupts no request", Guarantee::checkPlannedStops),
    P8(
            "an accepted configuration takes effect and is never replaced by an older one",
            Guarantee::checkConfiguration);

    private final String summary;
    private final Function<RunObservations, Verdict> check;

    Guarantee(String summary, Function<RunObservations, Verdict> check) {
        this.summary = summary;
        this.check = check;
    }

    /**
     * Result of a check.
     *
     * @param checked number of cases that were compared
     * @param violations one line for each case that violates the guarantee
     */
    public record Verdict(long checked, List<String> violations) {

        public Verdict {
            violations = List.copyOf(violations);
        }

        /** Returns whether no case violates the guarantee. */
        public boolean holds() {
            return violations.isEmpty();
        }
    }

    /** Returns a one-line description of the guarantee. */
    public String summary() {
        return summary;
    }

    public Verdict check(RunObservations observations) {
        return check.apply(observations);
    }

    private static Verdict checkEntitlement(RunObservations observed) {
        List<String> violations = new ArrayList<>();
        long checked = 0;
        for (AttemptOutcome outcome : observed.outcomes()) {
            if (!outcome.call().isModel() || !outcome.isSuccess()) {
                continue;
            }
            checked++;
            Configuration declared = observed.declarations().get(outcome.configurationNumber());
            int pinned =
                    declared == null
                            ? 0
                            : declared.adapter(outcome.call().adapter())
                                    .map(
                                            (AdapterSpec a) ->
                                                    a.versionFor(
                                                            outcome.call().trafficClass().name()))
                                    .getOrElse(0);
            if (!outcome.call().entitled()) {
                violations.add(line(outcome, "the caller is not entitled"));
            } else if (!outcome.adapter().equals(outcome.call().adapter())
                    || outcome.version() != pinned) {
                violations.add(
                        line(
                                outcome,
                                "answered by "
                                        + outcome.adapter()
                                        + '@'
                                        + outcome.version()
                                        + " instead of pinned version "
                                        + pinned));
            } else if (ranOnOtherAdapter(observed, outcome)) {
                violations.add(line(outcome, "ran on " + observed.handles(outcome.requestId())));
            } else if (observed.allLedgersRead() && observed.runs(outcome.requestId()) == 0) {
                violations.add(line(outcome, "no engine has run the request"));
            }
        }
        return new Verdict(checked, violations);
    }

    private static boolean ranOnOtherAdapter(RunObservations observed, AttemptOutcome outcome) {
        return observed.handles(outcome.requestId()).stream()
                .map(AdapterVersion::ofHandle)
                .anyMatch(
                        v ->
                                v == null
                                        || !v.adapter().equals(outcome.adapter())
                                        || v.version() != outcome.version());
    }

    private static Verdict checkCompleteness(RunObservations observed) {
        List<AttemptOutcome> successes =
                observed.outcomes().stream().filter(AttemptOutcome::isSuccess).toList();
        return new Verdict(
                successes.size(),
                successes.stream()
                        .filter(outcome -> !outcome.correct())
                        .map(
                                outcome ->
                                        line(
                                                outcome,
                                                "the answer is incomplete or belongs to another request"))
                        .toList());
    }

    private static Verdict checkNotRun(RunObservations observed) {
        List<AttemptOutcome> refused =
                observed.outcomes().stream().filter(AttemptOutcome::reportsNotRun).toList();
        return new Verdict(
                refused.size(),
                refused.stream()
                        .filter(
                                outcome ->
                                        observed.runs(outcome.requestId())
                                                        + observed.actsOfRequest(
                                                                outcome.requestId())
                                                > 0)
                        .map(outcome -> line(outcome, "reported as not run, but has run"))
                        .toList());
    }

    private static Verdict checkOnceOnly(RunObservations observed) {
        List<String> violations = new ArrayList<>();
        observed.actsByKey()
                .forEach(
                        (key, n) -> {
                            if (n > 1) {
                                violations.add("act " + key + " ran " + n + " times");
                            }
                        });
        Map<String, AttemptOutcome> confirmed = new HashMap<>();
        for (AttemptOutcome outcome : observed.outcomes()) {
            if (outcome.call().isAct() && outcome.isSuccess()) {
                confirmed.put(
                        outcome.call().trafficClass().kind().service()
                                + '/'
                                + outcome.call().recordedKey(),
                        outcome);
            }
        }
        confirmed.forEach(
                (key, outcome) -> {
                    if (!observed.actsByKey().containsKey(key)) {
                        violations.add(line(outcome, "act " + key + " is not recorded"));
                    }
                });
        return new Verdict(observed.actsByKey().size(), violations);
    }

    private static Verdict checkLeaving(RunObservations observed) {
        List<String> violations = new ArrayList<>();
        observed.workAfterLeaving()
                .forEach(
                        (upstream, n) -> {
                            if (n > 0) {
                                violations.add(
                                        upstream
                                                + " got "
                                                + n
                                                + " runs and loads after the bound for a leaving upstream");
                            }
                        });
        return new Verdict(observed.workAfterLeaving().size(), violations);
    }

    private static Verdict checkPlannedStops(RunObservations observed) {
        List<AttemptOutcome> sent =
                observed.outcomes().stream()
                        .filter(
                                outcome ->
                                        observed.gracefullyStopped().contains(outcome.instance()))
                        .toList();
        List<String> violations = new ArrayList<>(observed.uncleanStops());
        for (AttemptOutcome outcome : sent) {
            if (outcome.code() == null && !outcome.failure().equals("connection refused")) {
                violations.add(line(outcome, outcome.failure()));
            }
        }
        return new Verdict(sent.size(), violations);
    }

    private static Verdict checkConfiguration(RunObservations observed) {
        List<String> violations = new ArrayList<>();
        long checked = 0;
        for (AttemptOutcome outcome : observed.outcomes()) {
            if (outcome.isSuccess() && outcome.sentMs() >= observed.propagationBoundMs()) {
                checked++;
                if (outcome.configurationNumber() < observed.publishedNumber()) {
                    violations.add(
                            line(
                                    outcome,
                                    "answered under outdated configuration number "
                                            + outcome.configurationNumber()));
                }
            }
        }
        for (Map.Entry<String, List<Long>> readings : observed.observedNumbers().entrySet()) {
            long highest = 0;
            for (long number : readings.getValue()) {
                checked++;
                if (number < highest) {
                    violations.add(
                            readings.getKey()
                                    + " went back from configuration "
                                    + highest
                                    + " to "
                                    + number);
                }
                highest = Math.max(highest, number);
            }
        }
        return new Verdict(checked, violations);
    }

    private static String line(AttemptOutcome outcome, String what) {
        return outcome.call().trafficClass().name()
                + " request "
                + outcome.requestId()
                + " at "
                + outcome.instance()
                + " ("
                + outcome.label()
                + "): "
                + what;
    }
}
