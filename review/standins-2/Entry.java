import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** One machine with the entry program, started with the command of the deploy file. */
final class Entry implements AutoCloseable {
    static final int FRONT = 18149;
    static final int READY = 18141;
    static final int CONTROL = 18144;
    static final int FIRST_PORT = 17380;

    final String name;
    final String ip;
    private final Path folder;
    private final Record record;
    private Process process;

    Entry(
            String name,
            String ip,
            String zone,
            List<String> seedIps,
            String store,
            Path folder,
            Record record)
            throws IOException {
        this.name = name;
        this.ip = ip;
        this.folder = folder;
        this.record = record;
        String seeds =
                seedIps.stream()
                        .map(s -> "\"" + s + ":" + CONTROL + "\"")
                        .collect(Collectors.joining(","));
        // The fields and bounds of the users' page on settings, with the figures of the small
        // sites.
        Files.writeString(
                settings(),
                """
                {"nodeName":"%1$s","role":"entry","machineClass":"edge",
                 "serves":["edge","control_plane"],"ip":"%2$s","zone":"%3$s","region":"r1",
                 "zones":{"%3$s":"r1"},
                 "bind":{"front":"%2$s:%4$d","ready":"%2$s:%5$d","control":"%2$s:%6$d"},
                 "portRange":[%7$d,%8$d],"seeds":[%9$s],"bootstrap":true,"lossCounts":false,
                 "limits":{"cpuShare":0.75,"cpuCores":1,"memoryMb":430,"maxFds":4100,
                           "linkMbps":1000.0,"diskMb":0},
                 "dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
                 "contracts":["base","drain","config","cost","retry","recover","fleet","stream",
                              "engine","platform"],
                 "faultTolerance":{"machines":2,"zones":0,"regions":0},
                 "bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,
                   "drainMs":2000,"gracePeriodS":8,"lossSlackMs":200,"configApplyMs":2000,
                   "rollbackSlackMs":250,"maxStretchMs":5000,"retryBudgetRatio":0.2,
                   "budgetWindowS":10,"retrySlack":58,"recoveryS":12,"passMs":120,"retryAfterS":0,
                   "fenceRequired":true,"leaseMs":3000,"freezeSlackMs":300,"ceilingWindowS":5,
                   "originOverage":1.1,"version_ms":5000},
                 "platform":{"address":"%10$s","form":"read","writesPerS":400,"readsPerS":2000,
                             "historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}
                """
                        .formatted(
                                name, ip, zone, FRONT, READY, CONTROL, FIRST_PORT, FIRST_PORT + 15,
                                seeds, store));
    }

    private Path settings() {
        return folder.resolve(name + ".json");
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    synchronized void start() throws IOException {
        ProcessBuilder b = new ProcessBuilder(command());
        b.environment().put("BRONZEHILL_CONFIG", settings().toString());
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        process = b.start();
        record.line("machine %s starts pid=%d", name, process.pid());
    }

    private static List<String> command() throws IOException {
        String line =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(l -> l.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return Arrays.asList(run.split(" "));
    }

    boolean isReady() {
        try {
            HttpURLConnection c =
                    (HttpURLConnection)
                            URI.create("http://" + ip + ":" + READY + "/v1/readyz")
                                    .toURL()
                                    .openConnection();
            c.setConnectTimeout(500);
            c.setReadTimeout(1000);
            return c.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long ms) throws InterruptedException, IOException {
        long until = System.nanoTime() + ms * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > until) {
                throw new IOException(name + " is not ready");
            }
            Thread.sleep(50);
        }
        record.line("machine %s is ready", name);
    }

    /** Loses power, or is killed: SIGKILL. */
    synchronized void kill() throws InterruptedException {
        record.line("machine %s is killed", name);
        process.destroyForcibly();
        process.waitFor();
    }

    synchronized void signal(String signal) throws IOException, InterruptedException {
        record.line("machine %s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Waits for the end of a planned stop; kills the process after the grace period. */
    void awaitEnd(long graceMs) throws InterruptedException {
        if (!process().waitFor(graceMs, TimeUnit.MILLISECONDS)) {
            kill();
        }
        record.line("machine %s has ended", name);
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    synchronized Process process() {
        return process;
    }

    @Override
    public synchronized void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
