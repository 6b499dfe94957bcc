package org.bronzehill.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.replay.expect.ExpectationFile;
import org.bronzehill.replay.expect.ExpectationGenerator;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.generate.Scenario;
import org.bronzehill.replay.generate.ShippedTraces;
import org.bronzehill.replay.generate.TraceGenerator;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;

/** Generates a trace and its expected outcomes from a seed. */
@Command(
        name = "generate-trace",
        description = "Generates a trace and its expected outcomes from a seed")
public final class GenerateCommand implements Callable<ExitStatus> {

    @Arguments(
            title = "TRACE",
            description = "Trace file to write; compressed if the name ends in .gz")
    @Required
    private String trace;

    @Option(name = "--expect", title = "FILE", description = "Expectation file to write")
    private String expectationFile;

    @Option(name = "--deployment", title = "NAME", description = "driftless or sialkot")
    private String deployment = "driftless";

    @Option(name = "--scenario", title = "LIST", description = "Scenarios, joined by +")
    private String scenario = "steady";

    @Option(name = "--seed", title = "SEED")
    private long seed = 1;

    @Option(name = "--seconds", title = "N", description = "Duration of the traffic in seconds")
    private int seconds = 40;

    @Option(name = "--rate", title = "N", description = "Requests per second")
    private double rate = 10;

    @Option(name = "--exponent", title = "X", description = "Zipf exponent of adapter popularity")
    private double exponent = 1.2;

    @Option(name = "--shipped", description = "Write all shipped traces to the directory TRACE")
    private boolean shipped;

    @Override
    public ExitStatus call() throws IOException {
        if (shipped) {
            ShippedTraces.writeTo(Path.of(trace));
            return ExitStatus.OK;
        }
        List<Scenario> scenarios =
                Arrays.stream(scenario.split("\\+")).map(Scenario::ofLabel).toList();
        Trace t =
                TraceGenerator.generate(
                        Deployment.named(deployment),
                        new TraceGenerator.Workload(rate, exponent, seconds, 20),
                        scenarios,
                        seed);
        TraceFormat.write(t, Path.of(trace));
        if (expectationFile != null) {
            ExpectationFile.write(ExpectationGenerator.of(t), Path.of(expectationFile));
        }
        return ExitStatus.OK;
    }
}
