package org.bronzehill.standin.driver.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.bronzehill.standin.Profile;

/** Run of a deployment under load: performs operations on it and collects observations. */
public final class Session implements AutoCloseable {

    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final long STOP_TIMEOUT_SECONDS = 60;

    /**
     * Time after which a newly started fleet is fully functional. If all witnesses of once-only
     * acts start together, they vote 10 s after their start; a new holder of the load budget
     * permits adapter loads after 5 s.
     */
    public static final int SETTLE_SECONDS = 11;

    private final Deployment deployment;
    private final Fleet fleet;
    private final Balancer balancer = Balancer.create();
    private final CallLog log = CallLog.create();
    private final RunObservations observations = RunObservations.create();
    private final PrintStream out;
    private final long startNanos = System.nanoTime();
    private StatusMonitor monitor;
    private LoadGenerator load;

    /**
     * Settings of a run.
     *
     * @param instances number of entry instances
     * @param settleSeconds delay between readiness and load; acts are refused as not run until
     *     {@link #SETTLE_SECONDS} have passed
     * @param root root of the checkout, which contains {@code bin} and {@code dist}
     * @param directory directory for logs and declarations
     */
    public record Options(
            Profile profile,
            int instances,
            int settleSeconds,
            long seed,
            Path root,
            Path directory) {}

    private Session(Deployment deployment, Fleet fleet, PrintStream out) {
        this.deployment = deployment;
        this.fleet = fleet;
        this.out = out;
    }

    /** Starts the processes and waits until every entry instance is ready. */
    public static Session start(Options options, PrintStream out)
            throws IOException, InterruptedException {
        Fleet fleet = Fleet.create(options.directory());
        try {
            Deployment deployment =
                    Deployment.start(
                            options.profile(),
                            options.root(),
                            options.directory(),
                            fleet,
                            options.instances(),
                            options.seed());
            Session session = new Session(deployment, fleet, out);
            session.observations.addDeclaration(deployment.declaration());
            for (String name : deployment.entryNames()) {
                deployment.startEntry(name);
                session.balancer.add(name, deployment.entryUri(name));
            }
            session.awaitReady(deployment.entryNames());
            session.monitor = StatusMonitor.start(deployment, session.observations);
            session.printProgress("%d processes started, all instances ready", fleet.running());
            session.printProgress("waiting %d s before the load starts", options.settleSeconds());
            Thread.sleep(options.settleSeconds() * 1000L);
            return session;
        } catch (IOException | InterruptedException | RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /** Prints a line with the time since the start of the run. */
    public void printProgress(String format, Object... arguments) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        out.printf("[%6.1f s] %s%n", seconds, String.format(format, arguments));
        out.flush();
    }

    /** Starts to send a workload. */
    public void startLoad(Workload workload) {
        load = LoadGenerator.start(workload, balancer, log);
    }

    /** Sends a call in addition to the workload. */
    public void submit(Call call) {
        load.submit(call);
    }

    /** Waits while the load runs, and prints the progress every 2 s. */
    public void waitUnderLoad(long seconds) throws InterruptedException {
        for (long left = seconds; left > 0; left -= 2) {
            Thread.sleep(Math.min(2, left) * 1000);
            List<AttemptOutcome> outcomes = log.outcomes();
            printProgress(
                    "%d attempts ended: %d ok, %d not run, %d without result code; %d calls open; %d"
                            + " instances ready",
                    outcomes.size(),
                    outcomes.stream().filter(AttemptOutcome::isSuccess).count(),
                    outcomes.stream().filter(AttemptOutcome::reportsNotRun).count(),
                    outcomes.stream().filter(o -> o.code() == null).count(),
                    log.open(),
                    balancer.ready().size());
        }
    }

    public void awaitReady(List<String> names) throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_TIMEOUT_SECONDS * 1_000_000_000L;
        while (!balancer.ready().containsAll(names)) {
            for (String name : names) {
                if (!deployment.entry(name).isAlive()) {
                    throw new IOException(name + " exited before it was ready; see its log");
                }
            }
            if (System.nanoTime() > end) {
                throw new IOException(
                        "not all entry instances became ready in time; ready: " + balancer.ready());
            }
            Thread.sleep(100);
        }
    }

    /** Stops an entry instance gracefully and restarts it. */
    public void replaceGracefully(String name) throws IOException, InterruptedException {
        printProgress("stopping %s gracefully", name);
        deployment.setState("instances/" + name, "leaving");
        ManagedProcess process = deployment.entry(name);
        process.terminate();
        String problem = "";
        if (!process.awaitExit(STOP_TIMEOUT_SECONDS)) {
            problem = "did not exit after SIGTERM";
            process.kill();
        } else if (process.exitStatus() != 0 && process.exitStatus() != 143) {
            problem = "exited with status " + process.exitStatus();
        }
        synchronized (observations) {
            observations.addGracefulStop(name, problem);
        }
        restart(name);
    }

    /** Kills an entry instance and restarts it after a pause. */
    public void killAndRestart(String name, Duration pause)
            throws IOException, InterruptedException {
        printProgress("killing %s", name);
        deployment.entry(name).kill();
        Thread.sleep(pause.toMillis());
        restart(name);
    }

    private void restart(String name) throws IOException, InterruptedException {
        balancer.markUnready(name);
        deployment.startEntry(name);
        deployment.setState("instances/" + name, "live");
        awaitReady(List.of(name));
        printProgress("%s is ready again", name);
    }

    /** Reads the ledger of an engine, kills the engine and restarts it with empty caches. */
    public void restartEngine(String name) throws IOException, InterruptedException {
        printProgress("restarting %s", name);
        JsonNode ledger = deployment.ledger(name);
        deployment.standin(name).kill();
        synchronized (observations) {
            observations.addEngineLedger(ledger);
            observations.addLostLedger();
        }
        deployment.startStandin(name);
        deployment.awaitStandin(name);
    }

    /** Restarts a crashed engine, whose ledger is lost. */
    public void restartCrashedEngine(String name) throws IOException, InterruptedException {
        printProgress("restarting %s after a crash", name);
        synchronized (observations) {
            observations.addLostLedger();
        }
        deployment.startStandin(name);
        deployment.awaitStandin(name);
    }

    /** Publishes the next declaration, which must be in force within 5 s. */
    public void publishNext() throws IOException, InterruptedException {
        observations.addDeclaration(deployment.publishNext());
        long number = deployment.declaration().number();
        observations.setPublishedConfiguration(number, load.elapsedMs() + 5000);
        printProgress("published configuration %d", number);
    }

    /**
     * Sets upstreams to leaving, waits for the bound after which they must not receive new work,
     * and makes them count the work that they start from then on.
     */
    public void retire(String... upstreams) throws IOException, InterruptedException {
        for (String upstream : upstreams) {
            deployment.setState("upstreams/" + upstream, "leaving");
            printProgress("%s is set to leaving", upstream);
        }
        // The instance list publishes the change after 500 ms, and the bound of 5 s starts then.
        waitUnderLoad(5);
        Thread.sleep(500);
        for (String upstream : upstreams) {
            deployment.control().post(deployment.uri(upstream), "/standin/mark", Map.of());
        }
    }

    /** Ends the load, reads the ledgers and audit records, and returns all observations. */
    public RunObservations finish() throws IOException, InterruptedException {
        boolean ended = load.finish(Duration.ofSeconds(60));
        printProgress(ended ? "all calls have ended" : "%d calls have not ended", log.open());
        monitor.close();
        observations.addOutcomes(log.outcomes());
        log.write(deployment.directory().resolve("told.jsonl"));
        for (String name : deployment.standinNames("engine-")) {
            observations.addEngineLedger(deployment.ledger(name));
        }
        for (String name : deployment.standinNames("runner-")) {
            observations.addRunnerLedger(deployment.ledger(name));
        }
        for (String name : deployment.entryNames()) {
            AuditRecordReader.read(deployment.log(name), observations);
        }
        return observations;
    }

    public Deployment deployment() {
        return deployment;
    }

    public CallLog log() {
        return log;
    }

    /** Returns the number of processes that exited with the given status. */
    public long countExitedWith(int status) {
        return fleet.countExitedWith(status);
    }

    @Override
    public void close() {
        if (load != null) {
            load.close();
        }
        balancer.close();
        fleet.close();
        out.printf("%d processes still running%n", fleet.running());
    }
}
