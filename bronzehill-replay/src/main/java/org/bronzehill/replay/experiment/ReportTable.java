package org.bronzehill.replay.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;

/** Renders the results of an experiment as a text table and as CSV. */
public final class ReportTable {

    private static final double[] STALL_PERCENTILES = {0.5, 0.95, 0.99};

    private record Row(String measure, String key, List<String> values) {}

    private ReportTable() {}

    /** Returns a table with one column for each policy, then the bounds and the targets. */
    public static String text(Experiment.Result r, List<Targets.Check> checks) {
        StringBuilder out = new StringBuilder();
        out.append(
                String.format(
                        Locale.ROOT,
                        "%s, %s, seed %d, %d records%n",
                        r.deployment().name(),
                        r.trace().header().title(),
                        r.trace().header().seed(),
                        r.trace().records().size()));
        out.append(String.format("%-46s", ""));
        r.policies().forEach(p -> out.append(String.format("%14s", p.name())));
        out.append('\n');
        for (Row row : rows(r)) {
            out.append(String.format("%-46s", row.measure() + ' ' + row.key()));
            row.values().forEach(v -> out.append(String.format("%14s", v)));
            out.append('\n');
        }
        out.append(
                String.format(
                        Locale.ROOT,
                        "bounds: p95 stall of interactive model requests %.3f s (%.3f s without"
                                + " prefetch), batch efficiency %.3f (%.3f without delays)%n",
                        r.stallBound() / 1e9,
                        r.stallBoundWithoutPrefetch() / 1e9,
                        r.batchBound(),
                        r.batchBoundWithoutDelays()));
        checks.forEach(c -> out.append(c).append('\n'));
        return out.toString();
    }

    /** Returns the same results and bounds, without the targets, as CSV. */
    public static String csv(Experiment.Result r) {
        StringBuilder out = new StringBuilder("trace,deployment,policy,measure,key,value\n");
        String prefix = r.trace().header().title() + ',' + r.deployment().name() + ',';
        for (Row row : rows(r)) {
            for (int i = 0; i < r.policies().size(); i++) {
                out.append(prefix)
                        .append(r.policies().get(i).name())
                        .append(',')
                        .append(row.measure())
                        .append(',')
                        .append(row.key())
                        .append(',')
                        .append(row.values().get(i))
                        .append('\n');
            }
        }
        out.append(bound(prefix, "stall p95 s", r.stallBound() / 1e9));
        out.append(
                bound(prefix, "stall p95 without prefetch s", r.stallBoundWithoutPrefetch() / 1e9));
        out.append(bound(prefix, "batch efficiency", r.batchBound()));
        out.append(bound(prefix, "batch efficiency without delays", r.batchBoundWithoutDelays()));
        return out.toString();
    }

    private static String bound(String prefix, String measure, double value) {
        return prefix + "bound," + measure + ",," + number(value) + '\n';
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    private static List<Row> rows(Experiment.Result r) {
        List<Row> rows = new ArrayList<>();
        List<PolicyResult> policies = r.policies();
        List<String> kinds = new ArrayList<>(policies.get(0).modelKinds());
        kinds.add(0, "all");
        for (String kind : kinds) {
            Predicate<RequestOutcome> filter =
                    o -> o.isModelRequest() && (kind.equals("all") || o.kind().equals(kind));
            rows.add(
                    row(policies, "total stall s", kind, p -> number(p.totalStallSeconds(filter))));
            for (double share : STALL_PERCENTILES) {
                rows.add(
                        row(
                                policies,
                                "stall p" + Math.round(share * 100) + " s",
                                kind,
                                p -> number(p.stallPercentile(share, filter) / 1e9)));
            }
        }
        rows.add(row(policies, "batch efficiency", "", p -> number(p.batchEfficiency())));
        rows.add(row(policies, "loads", "", p -> Long.toString(p.loads())));
        addRowsByKey(rows, policies, "missed or refused", PolicyResult::missesByKind);
        addRowsByKey(rows, policies, "refused by code", PolicyResult::unsuccessfulByCode);
        addRowsByKey(rows, policies, "weighted completed work", PolicyResult::weightedCompletions);
        return rows;
    }

    private static void addRowsByKey(
            List<Row> rows,
            List<PolicyResult> policies,
            String measure,
            java.util.function.Function<PolicyResult, Map<String, ? extends Number>> map) {
        policies.stream()
                .flatMap(p -> map.apply(p).keySet().stream())
                .distinct()
                .sorted()
                .forEach(
                        key ->
                                rows.add(
                                        row(
                                                policies,
                                                measure,
                                                key,
                                                p -> {
                                                    Number n = map.apply(p).get(key);
                                                    return n == null ? "0" : n.toString();
                                                })));
    }

    private static Row row(
            List<PolicyResult> policies,
            String measure,
            String key,
            java.util.function.Function<PolicyResult, String> value) {
        return new Row(measure, key, policies.stream().map(value).toList());
    }
}
