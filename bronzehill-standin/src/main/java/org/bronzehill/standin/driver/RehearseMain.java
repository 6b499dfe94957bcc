package org.bronzehill.standin.driver;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.bronzehill.standin.Profile;
import org.bronzehill.standin.driver.internal.RunObservations;
import org.bronzehill.standin.driver.internal.RunReport;
import org.bronzehill.standin.driver.internal.Session;

/** Main class of {@code ./rehearse}: runs one fault scenario with real processes. */
@Command(
        name = "rehearse",
        description =
                "Runs a fault scenario on a deployment's stand-ins and 9 entry instances, and"
                        + " compares the ledgers with the results that callers received. Scenarios:"
                        + " kill-once-only, pause, engine-kill-loading, configuration-outage,"
                        + " silent-connections, rolling-replace, crash-request, leaving-upstream")
public final class RehearseMain {

    private static final int GUARANTEE_VIOLATED = 1;
    private static final int BAD_SETTINGS = 2;
    private static final int INSTANCES = 9;
    private static final int BRIEF_INSTANCES = 4;

    /**
     * Time after which adapter loads are permitted. Only once-only acts need the longer {@link
     * Session#SETTLE_SECONDS}.
     */
    private static final int BRIEF_SETTLE_SECONDS = 5;

    @AirlineModule private HelpOption<RehearseMain> help;

    @Arguments(title = "scenario", description = "Scenario to run")
    private List<String> scenario = new ArrayList<>();

    @Option(name = "--profile", description = "driftless (default) or sialkot")
    private String profile = Profile.DRIFTLESS.label();

    @Option(
            name = "--seconds",
            description =
                    "Approximate length of the load, which configuration-outage and rolling-replace"
                            + " ignore; 30 by default, 12 with --short")
    private String seconds;

    @Option(name = "--seed", description = "Seed of declaration, load and faults; 1 by default")
    private String seed = "1";

    @Option(name = "--short", description = "Short form for CI with 4 entry instances")
    private boolean brief;

    public static void main(String[] args) throws IOException, InterruptedException {
        RehearseMain main;
        try {
            main = SingleCommand.singleCommand(RehearseMain.class).parse(args);
        } catch (ParseException e) {
            System.err.println("rehearse: " + e.getMessage());
            System.exit(BAD_SETTINGS);
            return;
        }
        if (main.help != null && main.help.showHelpIfRequested()) {
            return;
        }
        System.exit(main.run());
    }

    private int run() throws IOException, InterruptedException {
        DriverOptions in = new DriverOptions();
        Scenario chosen = in.scenario(scenario);
        Path directory = DriverOptions.directory("rehearse-" + chosen.label());
        String length = seconds != null ? seconds : brief ? "12" : "30";
        long duration = in.number("--seconds", length, 1, 3600);
        Session.Options options =
                new Session.Options(
                        in.profile(profile),
                        brief ? BRIEF_INSTANCES : INSTANCES,
                        brief && chosen != Scenario.KILL_ONCE_ONLY
                                ? BRIEF_SETTLE_SECONDS
                                : Session.SETTLE_SECONDS,
                        in.number("--seed", seed, 0, Long.MAX_VALUE),
                        DriverOptions.root(),
                        directory);
        if (!in.errors().isEmpty()) {
            in.errors().forEach(e -> System.err.println("rehearse: " + e));
            return BAD_SETTINGS;
        }
        System.out.printf(
                "scenario %s, profile %s, seed %d; logs in %s%n",
                chosen.label(), options.profile().label(), options.seed(), directory);
        RunObservations observations;
        Map<String, Boolean> checks;
        try (Session session = Session.start(options, System.out)) {
            checks = Rehearsal.of(session, duration, options.seed(), brief).runScenario(chosen);
            observations = session.finish();
        }
        RunReport report = RunReport.of(observations, System.out);
        report.printMeasures();
        boolean passed = report.printGuarantees();
        for (Map.Entry<String, Boolean> check : checks.entrySet()) {
            passed &= report.printCheck(check);
        }
        return passed ? 0 : GUARANTEE_VIOLATED;
    }
}
