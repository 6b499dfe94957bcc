package org.bronzehill.standin.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.standin.Profile;
import org.bronzehill.standin.driver.internal.Deployment;
import org.bronzehill.standin.driver.internal.Fleet;
import org.bronzehill.standin.driver.internal.ProcessUsage;

/** Main class of {@code ./measure-idle}: measures the resource usage of idle entry instances. */
@Command(
        name = "measure-idle",
        description =
                "Starts a deployment on loopback without load and prints processor time, memory"
                        + " and peer traffic of each entry instance")
public final class MeasureIdleMain {

    private static final int BAD_SETTINGS = 2;
    private static final int MAX_READY_POLLS = 600;
    private static final long READY_POLL_MS = 100;
    private static final double KILO = 1e3;
    private static final double MEGA = 1e6;

    @AirlineModule private HelpOption<MeasureIdleMain> help;

    @Option(name = "--profile", description = "driftless (default) or sialkot")
    private String profile = Profile.DRIFTLESS.label();

    @Option(name = "--entries", description = "Number of entry instances; 3 by default")
    private String entries = "3";

    @Option(name = "--settle", description = "Seconds before the measurement; 20 by default")
    private String settle = "20";

    @Option(name = "--seconds", description = "Seconds of the measurement; 30 by default")
    private String seconds = "30";

    /** Counters of an instance at a point in time. */
    private record Reading(long nanos, ProcessUsage usage, double sent, double received) {}

    public static void main(String[] args) throws IOException, InterruptedException {
        MeasureIdleMain main;
        try {
            main = SingleCommand.singleCommand(MeasureIdleMain.class).parse(args);
        } catch (ParseException e) {
            System.err.println("measure-idle: " + e.getMessage());
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
        Profile chosen = in.profile(profile);
        int count = (int) in.number("--entries", entries, 1, 20);
        long settleSeconds = in.number("--settle", settle, 0, 3600);
        long runSeconds = in.number("--seconds", seconds, 1, 3600);
        if (!in.errors().isEmpty()) {
            in.errors().forEach(e -> System.err.println("measure-idle: " + e));
            return BAD_SETTINGS;
        }
        Path directory = DriverOptions.directory("measure-idle");
        try (Fleet fleet = Fleet.create(directory)) {
            Deployment deployment =
                    Deployment.start(chosen, DriverOptions.root(), directory, fleet, count, 1);
            for (String name : deployment.entryNames()) {
                deployment.startEntry(name);
            }
            for (String name : deployment.entryNames()) {
                awaitReady(deployment, name);
            }
            Thread.sleep(settleSeconds * 1000);
            measure(deployment, runSeconds);
        }
        return 0;
    }

    private static void awaitReady(Deployment deployment, String name)
            throws IOException, InterruptedException {
        for (int i = 0; i < MAX_READY_POLLS; i++) {
            if (deployment.control().isReachable(deployment.entryUri(name), "/health/ready")) {
                return;
            }
            Thread.sleep(READY_POLL_MS);
        }
        throw new IOException(name + " did not become ready in time");
    }

    private static void measure(Deployment deployment, long seconds)
            throws IOException, InterruptedException {
        System.out.println("load average before: " + loadAverage());
        List<Reading> before = new ArrayList<>();
        for (String name : deployment.entryNames()) {
            before.add(read(deployment, name));
        }
        Thread.sleep(seconds * 1000);
        List<Reading> after = new ArrayList<>();
        for (String name : deployment.entryNames()) {
            after.add(read(deployment, name));
        }
        System.out.println("load average after: " + loadAverage());
        System.out.println(
                "instance    engines  cpu %  resident MB  heap MB  sent KB/s  recv KB/s");
        for (int i = 0; i < before.size(); i++) {
            print(deployment, deployment.entryNames().get(i), before.get(i), after.get(i));
        }
    }

    private static void print(Deployment deployment, String name, Reading first, Reading last)
            throws IOException, InterruptedException {
        double elapsed = (last.nanos() - first.nanos()) / 1e9;
        double cpu = last.usage().cpu().minus(first.usage().cpu()).toNanos() / 1e9;
        System.out.printf(
                "%-10s %8d %6.2f %12.1f %8.1f %10.2f %10.2f%n",
                name,
                leasedEngines(deployment, name),
                100 * cpu / elapsed,
                last.usage().residentBytes() / MEGA,
                ProcessUsage.liveHeapBytes(deployment.entry(name).pid()) / MEGA,
                (last.sent() - first.sent()) / KILO / elapsed,
                (last.received() - first.received()) / KILO / elapsed);
    }

    private static Reading read(Deployment deployment, String name)
            throws IOException, InterruptedException {
        String metrics = deployment.control().text(deployment.entryUri(name), "/metrics");
        return new Reading(
                System.nanoTime(),
                ProcessUsage.read(deployment.entry(name).pid()),
                value(metrics, "bronzehill_peer_sent_bytes_total "),
                value(metrics, "bronzehill_peer_received_bytes_total "));
    }

    private static double value(String metrics, String prefix) throws IOException {
        return metrics.lines()
                .filter(l -> l.startsWith(prefix))
                .mapToDouble(l -> Double.parseDouble(l.substring(prefix.length())))
                .findFirst()
                .orElseThrow(() -> new IOException("metrics contain no " + prefix));
    }

    /**
     * Returns the number of engines whose lease the instance holds. Its status page has a fencing
     * number for exactly these engines.
     */
    private static int leasedEngines(Deployment deployment, String name)
            throws IOException, InterruptedException {
        int leased = 0;
        JsonNode status = deployment.control().get(deployment.entryUri(name), "/status");
        for (JsonNode upstream : status.path("upstreams")) {
            leased += upstream.path("fencing").asLong() > 0 ? 1 : 0;
        }
        return leased;
    }

    private static String loadAverage() throws IOException {
        return Files.readString(Path.of("/proc/loadavg")).trim();
    }
}
