package org.bronzehill.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.replay.experiment.Experiment;
import org.bronzehill.replay.experiment.Plot;
import org.bronzehill.replay.experiment.ReportTable;
import org.bronzehill.replay.experiment.ShiftRecovery;
import org.bronzehill.replay.experiment.Targets;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.generate.Scenario;
import org.bronzehill.replay.generate.TraceGenerator;
import org.bronzehill.replay.harness.Replay;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;

/**
 * Compares the placement policy with baseline policies and theoretical bounds (the load stall and
 * batch efficiency that no policy can beat) on the same trace. Without a trace file, it generates
 * two traces for each deployment: one with steady traffic and one with a shift of adapter
 * popularity.
 */
@Command(
        name = "experiment",
        description =
                "Compares the placement policy with baselines and theoretical bounds on one trace")
public final class ExperimentCommand implements Callable<ExitStatus> {

    /** Time after the traffic in which all requests except overnight ones reach their deadlines. */
    private static final int SETTLE_SECONDS = 120;

    @Arguments(title = "TRACE", description = "Trace file; without it, generated traffic is used")
    private String trace;

    @Option(name = "--out", title = "DIR", description = "Directory for the CSV and SVG files")
    private String out = "out/experiment";

    @Option(name = "--deployment", title = "NAME", description = "driftless, sialkot or all")
    private String deployment = "all";

    @Option(name = "--seed", title = "SEED")
    private long seed = 1;

    @Option(
            name = "--seconds",
            title = "N",
            description = "Seconds of steady traffic; with a popularity shift, twice as many")
    private int seconds = 400;

    @Option(
            name = "--measure-from",
            title = "SECONDS",
            description = "Time from the start of the traffic to that of the measurement")
    private int measureFrom = 200;

    @Option(
            name = "--rate",
            title = "N",
            description = "Requests per second; by default 15 for Driftless, 60 for Sialkot")
    private double rate;

    @Option(
            name = "--exponent",
            title = "X",
            description =
                    "Zipf exponent of popularity; by default 1.2 for Driftless, 1.5 for Sialkot")
    private double exponent;

    @Override
    public ExitStatus call() throws IOException {
        if (trace != null) {
            report(TraceFormat.read(Path.of(trace)), measureFrom, false);
            return ExitStatus.OK;
        }
        for (String candidate : List.of("driftless", "sialkot")) {
            if (deployment.equals("all") || deployment.equals(candidate)) {
                report(generate(candidate, Scenario.STEADY, seconds), measureFrom, false);
                report(
                        generate(candidate, Scenario.POPULARITY_SHIFT, 2 * seconds),
                        measureFrom,
                        true);
            }
        }
        return ExitStatus.OK;
    }

    /**
     * Generates a trace. The default rate and skew depend on the deployment: for Driftless, they
     * make the weight store the bottleneck, so that policies differ in load stalls; for Sialkot,
     * they make the engines the bottleneck, so that policies differ in batch efficiency.
     */
    private Trace generate(String name, Scenario scenario, int duration) {
        boolean storeIsBottleneck = name.equals("driftless");
        double perSecond = rate > 0 ? rate : storeIsBottleneck ? 15 : 60;
        double skew = exponent > 0 ? exponent : storeIsBottleneck ? 1.2 : 1.5;
        return TraceGenerator.generate(
                Deployment.named(name),
                new TraceGenerator.Workload(perSecond, skew, duration, SETTLE_SECONDS),
                List.of(scenario),
                seed);
    }

    private void report(Trace t, int fromSeconds, boolean popularityShift) throws IOException {
        Experiment.Result r = Experiment.run(t, fromSeconds * 1000L + Replay.WARM_UP_MS);
        List<Targets.Check> checks = new ArrayList<>();
        if (popularityShift) {
            long trafficMs = t.header().durationMs() - SETTLE_SECONDS * 1000L - Replay.WARM_UP_MS;
            long shiftNanos = (Replay.WARM_UP_MS + trafficMs / 2) * 1_000_000;
            checks.add(
                    ShiftRecovery.check(
                            r.policy(Experiment.POLICY).outcomes(),
                            r.deployment().limits(),
                            shiftNanos,
                            fromSeconds * 1_000_000_000L));
        } else {
            checks.addAll(Targets.check(r));
        }
        System.out.println(ReportTable.text(r, checks));
        Path dir = Files.createDirectories(Path.of(out));
        String name = r.deployment().name() + '-' + t.header().title().replace('+', '-');
        Files.writeString(dir.resolve(name + ".csv"), ReportTable.csv(r));
        Files.writeString(dir.resolve(name + ".svg"), Plot.svg(r));
    }
}
