package org.bronzehill.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Runs the benchmarks and prints all results in one table. */
public final class BenchMain {

    private static final int WARM_UPS = 3;
    private static final int ITERATIONS = 5;

    private BenchMain() {}

    /** Runs the benchmarks that match the regular expression in the first argument, or else all. */
    public static void main(String[] args) throws RunnerException {
        OptionsBuilder options = new OptionsBuilder();
        options.include(args.length > 0 ? args[0] : "org.bronzehill.bench.*")
                .forks(1)
                .warmupIterations(WARM_UPS)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(ITERATIONS)
                .measurementTime(TimeValue.seconds(1))
                .jvmArgsAppend("-Xmx3g")
                .addProfiler(GCProfiler.class)
                .verbosity(VerboseMode.SILENT);
        Collection<RunResult> results = new Runner(options.build()).run();
        List<String> lines = new ArrayList<>();
        lines.add(row("benchmark", "parameters", "µs/op", "± 99.9 %", "bytes/op"));
        for (RunResult r : results) {
            lines.add(line(r));
        }
        lines.addAll(MessageCounts.lines());
        lines.forEach(System.out::println);
    }

    private static String line(RunResult r) {
        String name = r.getParams().getBenchmark();
        String parameters =
                r.getParams().getParamsKeys().stream()
                        .map(k -> k + '=' + r.getParams().getParam(k))
                        .collect(Collectors.joining(" "));
        Result<?> score = r.getPrimaryResult();
        double divisor = 1;
        if (name.contains("Membership")) {
            divisor = Integer.parseInt(r.getParams().getParam("instances"));
            parameters += " (per instance)";
        }
        Result<?> bytes =
                r.getSecondaryResults().entrySet().stream()
                        .filter(e -> e.getKey().endsWith("gc.alloc.rate.norm"))
                        .map(e -> (Result<?>) e.getValue())
                        .findFirst()
                        .orElse(null);
        return row(
                name.substring(name.lastIndexOf('.', name.lastIndexOf('.') - 1) + 1),
                parameters,
                number(score.getScore() / divisor),
                number(score.getScoreError() / divisor),
                bytes == null ? "" : number(bytes.getScore() / divisor));
    }

    static String row(String name, String parameters, String time, String error, String bytes) {
        return String.format("%-36s %-28s %12s %12s %14s", name, parameters, time, error, bytes);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
