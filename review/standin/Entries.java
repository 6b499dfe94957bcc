package review;

import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts entry instances with the command of deploy/system.toml, each on its own loopback address,
 * and ends them with the script.
 */
final class Entries implements AutoCloseable {

    private static final int METRICS_PORT = 9464;

    final Path folder;
    private final List<Entry> entries = new ArrayList<>();
    private final Path record;
    private final PrintWriter recordWriter;
    private final long begin = System.nanoTime();

    final class Entry {
        final String name;
        final String ip;
        final int base;
        final Path settings;
        Process process;

        private Entry(String name, String ip, int base) {
            this.name = name;
            this.ip = ip;
            this.base = base;
            this.settings = folder.resolve(name + ".json");
        }

        String front() {
            return ip + ":" + base;
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(List.of(runCommand().split(" +")));
            ProcessBuilder b = new ProcessBuilder(command);
            Map<String, String> env = b.environment();
            env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            env.put("BRONZEHILL_CONFIG", settings.toString());
            b.redirectErrorStream(true);
            b.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = b.start();
            note("%s starts", name);
        }

        /** Sends a signal to this process. */
        void signal(String signal) throws Exception {
            note("%s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        boolean isReady() {
            try (Socket s = Http.connect(ip + ":" + (base + 1), 0)) {
                s.setSoTimeout(1000);
                s.getOutputStream()
                        .write(Http.bytes("GET /v1/readyz HTTP/1.1\r\nHost: " + ip + "\r\n\r\n"));
                Http.Message answer = Http.read(s.getInputStream(), false);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        List<String> log() throws IOException {
            return Files.readAllLines(folder.resolve(name + ".log"));
        }
    }

    Entries(Path record) throws IOException {
        this.record = record;
        this.recordWriter =
                new PrintWriter(
                        new OutputStreamWriter(
                                Files.newOutputStream(record), StandardCharsets.UTF_8),
                        true);
        this.folder = Files.createTempDirectory("bronzehill-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Writes a line to record.txt, with the seconds since the start of the script. */
    void note(String format, Object... args) {
        synchronized (recordWriter) {
            recordWriter.printf("%8.3f ", (System.nanoTime() - begin) / 1e9);
            recordWriter.println(String.format(format, args));
        }
    }

    double seconds() {
        return (System.nanoTime() - begin) / 1e9;
    }

    private static String runCommand() throws IOException {
        String toml = Files.readString(Path.of("deploy/system.toml"));
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(toml);
        if (!m.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        return m.group(1);
    }

    /** Returns a loopback address on which the ports that an instance needs are free. */
    private static String freeAddress(int base) throws IOException {
        Random random = new Random();
        for (int i = 0; i < 50; i++) {
            String ip =
                    "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + "."
                            + (1 + random.nextInt(250));
            if (isFree(ip, METRICS_PORT) && isFree(ip, base) && isFree(ip, base + 1)) {
                return ip;
            }
        }
        throw new IOException("no free loopback address");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress(ip, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts instances in zones z0, z1, ... and waits until they are ready. */
    List<Entry> startAll(int count, String storeAddress, int drainMs) throws Exception {
        int base = 18000 + new Random().nextInt(2000) * 5;
        for (int i = 0; i < count; i++) {
            entries.add(new Entry("edge-z" + i + "-1", freeAddress(base), base));
        }
        StringBuilder seeds = new StringBuilder();
        for (Entry e : entries.subList(0, Math.min(3, count))) {
            seeds.append(seeds.length() == 0 ? "" : ",");
            seeds.append('"').append(e.ip).append(':').append(base + 2).append('"');
        }
        for (int i = 0; i < count; i++) {
            Entry e = entries.get(i);
            Files.writeString(e.settings, settings(e, "z" + i, storeAddress, seeds.toString()));
            e.start();
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        for (Entry e : entries) {
            while (!e.isReady()) {
                if (System.nanoTime() > until) {
                    throw new IOException(e.name + " is not ready: " + e.log());
                }
                Thread.sleep(100);
            }
        }
        note("%d instances are ready", count);
        Thread.sleep(3000);
        return entries;
    }

    private static String settings(Entry e, String zone, String storeAddress, String seeds) {
        return "{\"nodeName\":\"" + e.name + "\",\"role\":\"entry\",\"machineClass\":\"edge\","
                + "\"serves\":[\"edge\",\"control_plane\"],\"ip\":\"" + e.ip + "\",\"zone\":\""
                + zone + "\",\"region\":\"r\",\"bind\":{\"front\":\"" + e.ip + ":" + e.base
                + "\",\"ready\":\"" + e.ip + ":" + (e.base + 1) + "\",\"control\":\"" + e.ip + ":"
                + (e.base + 2) + "\"},\"portRange\":[" + (e.base + 3) + "," + (e.base + 4)
                + "],\"seeds\":[" + seeds + "],\"bootstrap\":true,\"limits\":{\"cpuShare\":0.75,"
                + "\"cpuCores\":1,\"memoryMb\":430,\"maxFds\":4100,\"linkMbps\":1000.0},"
                + "\"heartbeatMs\":1200,\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,"
                + "\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,"
                + "\"gracePeriodS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,"
                + "\"rollbackSlackMs\":250,\"maxStretchMs\":5000,\"retryBudgetRatio\":0.2,"
                + "\"budgetWindowS\":10,\"retrySlack\":58,\"recoveryS\":12,\"passMs\":120,"
                + "\"retryAfterS\":0,\"fenceRequired\":true,\"leaseMs\":3000,"
                + "\"freezeSlackMs\":300,\"ceilingWindowS\":5,\"originOverage\":1.1,"
                + "\"version_ms\":5000},\"platform\":{\"address\":\"" + storeAddress
                + "\",\"form\":\"read\",\"readsPerS\":2000,\"historyS\":20,"
                + "\"valueBytes\":1048576}}";
    }

    private void end() {
        for (Entry e : entries) {
            if (e.process != null && e.process.isAlive()) {
                e.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws Exception {
        end();
        for (Entry e : entries) {
            if (e.process != null) {
                e.process.waitFor(5, TimeUnit.SECONDS);
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            for (Path p : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }
}
