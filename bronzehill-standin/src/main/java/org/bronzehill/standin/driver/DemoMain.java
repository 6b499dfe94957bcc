package org.bronzehill.standin.driver;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Path;
import org.bronzehill.standin.Profile;
import org.bronzehill.standin.driver.internal.RunObservations;
import org.bronzehill.standin.driver.internal.RunReport;
import org.bronzehill.standin.driver.internal.Session;
import org.bronzehill.standin.driver.internal.Workload;

/** Main class of {@code ./demo}: a short run of a complete deployment with planned changes. */
@Command(
        name = "demo",
        description =
                "Runs a deployment on loopback under mixed load, replaces an entry instance,"
                        + " restarts an engine, publishes a configuration, retires an engine, and"
                        + " prints the measures and the results of the guarantee checks")
public final class DemoMain {

    private static final int GUARANTEE_VIOLATED = 1;
    private static final int BAD_SETTINGS = 2;
    private static final double CALLS_PER_SECOND = 20;

    @AirlineModule private HelpOption<DemoMain> help;

    @Option(name = "--profile", description = "driftless (default) or sialkot")
    private String profile = Profile.DRIFTLESS.label();

    @Option(name = "--entries", description = "Number of entry instances; 3 by default")
    private String entries = "3";

    @Option(name = "--seed", description = "Seed of declaration and load; 1 by default")
    private String seed = "1";

    public static void main(String[] args) throws IOException, InterruptedException {
        DemoMain main;
        try {
            main = SingleCommand.singleCommand(DemoMain.class).parse(args);
        } catch (ParseException e) {
            System.err.println("demo: " + e.getMessage());
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
        Path directory = DriverOptions.directory("demo");
        Session.Options options =
                new Session.Options(
                        in.profile(profile),
                        (int) in.number("--entries", entries, 3, 20),
                        Session.SETTLE_SECONDS,
                        in.number("--seed", seed, 0, Long.MAX_VALUE),
                        DriverOptions.root(),
                        directory);
        if (!in.errors().isEmpty()) {
            in.errors().forEach(e -> System.err.println("demo: " + e));
            return BAD_SETTINGS;
        }
        System.out.println("starting " + options.profile().label() + "; logs in " + directory);
        RunObservations observations;
        try (Session session = Session.start(options, System.out)) {
            Workload load = Workload.of(options.profile(), CALLS_PER_SECOND, -1, options.seed());
            session.startLoad(load);
            session.waitUnderLoad(4);
            session.replaceGracefully("entry-1");
            session.publishNext();
            session.waitUnderLoad(2);
            session.restartEngine("engine-2");
            session.waitUnderLoad(2);
            session.retire("engine-3");
            session.waitUnderLoad(4);
            observations = session.finish();
        }
        RunReport report = RunReport.of(observations, System.out);
        report.printMeasures();
        return report.printGuarantees() ? 0 : GUARANTEE_VIOLATED;
    }
}
