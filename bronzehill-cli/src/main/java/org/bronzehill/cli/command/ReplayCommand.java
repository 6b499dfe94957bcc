package org.bronzehill.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.replay.check.Checkers;
import org.bronzehill.replay.check.Violation;
import org.bronzehill.replay.expect.ExpectationFile;
import org.bronzehill.replay.expect.Expectations;
import org.bronzehill.replay.generate.Scenario;
import org.bronzehill.replay.harness.DecisionCore;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.Replay;
import org.bronzehill.replay.harness.RunResult;
import org.bronzehill.replay.random.RandomRun;
import org.bronzehill.replay.random.RandomSchedule;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;

/**
 * Replays a trace, or random fault schedules, in a simulation on virtual time and checks the
 * outcomes. The simulated entry instances run the same routing code as real ones.
 */
@Command(
        name = "replay",
        description = "Replays a trace with simulated entry instances and checks its outcomes")
public final class ReplayCommand implements Callable<ExitStatus> {

    @Arguments(title = "TRACE", description = "Trace file, plain or compressed with gzip")
    private String trace;

    @Option(name = "--expect", title = "FILE", description = "File with the expected outcomes")
    private String expectationFile;

    @Option(name = "--random", description = "Run random fault schedules instead of a trace")
    private boolean random;

    @Option(name = "--seeds", title = "N", description = "Number of random schedules")
    private int seeds = 100;

    @Option(name = "--first", title = "SEED", description = "First seed")
    private long firstSeed = 1;

    @Option(
            name = "--with",
            title = "LIST",
            description = "With --random: scenarios, joined by +, to add to every schedule")
    private String additional = "";

    @Option(
            name = "--shorten",
            description = "With --random: shorten the schedules of failing seeds")
    private boolean shorten;

    @Option(
            name = "--log",
            description = "Print the events of a replayed trace; messages only with --messages")
    private boolean log;

    @Option(
            name = "--messages",
            title = "KINDS",
            description =
                    "With --log: kinds of messages to print, for example ACT_CLAIM,ACT_STATUS")
    private String messages = "";

    @Option(
            name = "--write",
            title = "FILE",
            description = "With --random: write the trace of the first seed instead of running it")
    private String traceOutput;

    @Override
    public ExitStatus call() throws IOException {
        if (random && traceOutput != null) {
            TraceFormat.write(
                    RandomSchedule.of(firstSeed, additionalScenarios()), Path.of(traceOutput));
            return ExitStatus.OK;
        }
        if (random) {
            int failed =
                    RandomRun.create(DecisionCore.entryCore(), System.out)
                            .withScenarios(additionalScenarios())
                            .run(firstSeed, seeds, shorten);
            return failed == 0 ? ExitStatus.OK : ExitStatus.NOT_AS_EXPECTED;
        }
        if (trace == null) {
            System.err.println("either TRACE or --random is required");
            return ExitStatus.FAILED;
        }
        return replay(TraceFormat.read(Path.of(trace)));
    }

    private List<Scenario> additionalScenarios() {
        return additional.isEmpty()
                ? List.of()
                : Arrays.stream(additional.split("\\+")).map(Scenario::ofLabel).toList();
    }

    private ExitStatus replay(Trace t) throws IOException {
        RunResult run = Replay.run(t, DecisionCore.entryCore(), Set.of(messages.split(",")));
        if (log) {
            run.log().events().forEach(System.out::println);
        }
        List<Violation> violations = Checkers.check(run);
        violations.forEach(System.out::println);
        int mismatches = 0;
        if (expectationFile != null) {
            List<Expectations.Mismatch> found =
                    Expectations.compare(t, run, ExpectationFile.read(Path.of(expectationFile)));
            found.forEach(System.out::println);
            mismatches = found.size();
        }
        System.out.println(
                t.header().title()
                        + ": "
                        + run.log().ofType(LogEvent.RequestArrived.class).count()
                        + " requests, "
                        + violations.size()
                        + " violations, "
                        + mismatches
                        + " mismatches");
        if (violations.isEmpty() && mismatches == 0) {
            return ExitStatus.OK;
        }
        System.out.println(
                ResultCode.EXPECTATION_FAILED.number()
                        + " "
                        + ResultCode.EXPECTATION_FAILED.summary());
        return ExitStatus.NOT_AS_EXPECTED;
    }
}
