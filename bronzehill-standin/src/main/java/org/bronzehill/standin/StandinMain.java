package org.bronzehill.standin;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.jboss.logging.Logger;

/**
 * Main class of {@code bronzehill-standin}. Each flag can also be set as an environment variable.
 */
@Command(
        name = "bronzehill-standin",
        description =
                "Simulates one or several of the systems around bronzehill's entry instances. Each flag"
                        + " --some-name can also be set as BRONZEHILL_STANDIN_SOME_NAME.")
public final class StandinMain {

    private static final Logger LOG = Logger.getLogger(StandinMain.class);
    private static final int BAD_SETTINGS = 2;

    @AirlineModule private HelpOption<StandinMain> help;

    @Option(name = "--version", description = "Prints the version")
    private boolean version;

    @Option(
            name = "--role",
            description =
                    "engine, weight-store, configuration, instance-list or application-runner;"
                            + " several with commas, on consecutive ports")
    private String role;

    @Option(name = "--id", description = "Identifier; the role by default")
    private String id;

    @Option(name = "--host", description = "Address to listen on; 127.0.0.1 by default")
    private String host;

    @Option(name = "--port", description = "Port of the first role; 0 selects a free port")
    private String port;

    @Option(name = "--profile", description = "Deployment profile: driftless (default) or sialkot")
    private String profile;

    @Option(name = "--batch-size", description = "Requests that an engine runs at once")
    private String batchSize;

    @Option(name = "--adapter-slots", description = "Adapters that an engine holds at once")
    private String adapterSlots;

    @Option(name = "--step-ms", description = "Fixed time of a batch step in ms")
    private String stepMs;

    @Option(
            name = "--step-per-request-ms",
            description = "Additional step time in ms per request in the batch")
    private String stepPerRequestMs;

    @Option(
            name = "--checks-fencing",
            description = "Whether an engine rejects old fencing numbers")
    private String checksFencing;

    @Option(
            name = "--report-lag-ms",
            description = "Age in ms of the reports that an engine serves")
    private String reportLagMs;

    @Option(name = "--gap-every", description = "Drops every n-th cache event; 0 drops none")
    private String gapEvery;

    @Option(name = "--store-uri", description = "Weight store that an engine loads from")
    private String storeUri;

    @Option(name = "--store-rate", description = "Loads per second of the weight store")
    private String storeRate;

    @Option(
            name = "--store-full-speed",
            description = "Loads that may start without delay after an idle period")
    private String storeFullSpeed;

    @Option(
            name = "--store-in-flight",
            description = "Concurrent loads beyond which transfers slow down")
    private String storeInFlight;

    @Option(name = "--directory", description = "Declaration directory to publish")
    private String directory;

    @Option(name = "--list-file", description = "Initial instance list")
    private String listFile;

    @Option(
            name = "--list-lag-ms",
            description = "Delay in ms until a change of the list is visible")
    private String listLagMs;

    @Option(name = "--services", description = "Services of an application runner")
    private String services;

    @Option(
            name = "--siblings",
            description =
                    "Base URIs of the other runners, which are queried for acts that this runner has"
                            + " not recorded")
    private String siblings;

    public static void main(String[] args) throws IOException, InterruptedException {
        StandinMain main;
        try {
            main = SingleCommand.singleCommand(StandinMain.class).parse(args);
        } catch (ParseException e) {
            System.err.println("bronzehill-standin: " + e.getMessage());
            System.exit(BAD_SETTINGS);
            return;
        }
        if (main.help != null && main.help.showHelpIfRequested()) {
            return;
        }
        if (main.version) {
            System.out.println("bronzehill-standin 0.1.0");
            return;
        }
        Settings.Checked checked = Settings.read(main.flags(), System.getenv());
        checked.errors().forEach(e -> System.err.println("bronzehill-standin: " + e));
        if (checked.settings().isEmpty()) {
            System.exit(BAD_SETTINGS);
            return;
        }
        Settings settings = checked.settings().get();
        Standin standin = Standin.start(settings);
        LOG.infof("%s serves %s on ports %s", settings.id(), settings.roles(), standin.ports());
    }

    private Map<String, String> flags() {
        Map<String, String> flags = new HashMap<>();
        flags.put("role", role);
        flags.put("id", id);
        flags.put("host", host);
        flags.put("port", port);
        flags.put("profile", profile);
        flags.put("batch-size", batchSize);
        flags.put("adapter-slots", adapterSlots);
        flags.put("step-ms", stepMs);
        flags.put("step-per-request-ms", stepPerRequestMs);
        flags.put("checks-fencing", checksFencing);
        flags.put("report-lag-ms", reportLagMs);
        flags.put("gap-every", gapEvery);
        flags.put("store-uri", storeUri);
        flags.put("store-rate", storeRate);
        flags.put("store-full-speed", storeFullSpeed);
        flags.put("store-in-flight", storeInFlight);
        flags.put("directory", directory);
        flags.put("list-file", listFile);
        flags.put("list-lag-ms", listLagMs);
        flags.put("services", services);
        flags.put("siblings", siblings);
        return flags;
    }
}
