package org.bronzehill.standin.driver.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/**
 * Resource usage of a process as reported by the kernel and the JVM.
 *
 * @param cpu user and system time since the start of the process
 * @param residentBytes resident memory
 */
public record ProcessUsage(Duration cpu, long residentBytes) {

    /** The kernel reports times to user space in units of 1/100 s on every common platform. */
    private static final long MILLIS_PER_TICK = 10;

    /**
     * Indices of utime and stime among the fields after the command name, which ends with the last
     * closing parenthesis.
     */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;

    /** Reads the usage of a process from {@code /proc}. */
    public static ProcessUsage read(long pid) throws IOException {
        Path proc = Path.of("/proc", Long.toString(pid));
        return parse(
                Files.readString(proc.resolve("stat")), Files.readString(proc.resolve("status")));
    }

    static ProcessUsage parse(String stat, String status) throws IOException {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TICKS_FIELD])
                        + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        for (String line : status.split("\n")) {
            if (line.startsWith("VmRSS:")) {
                long kilobytes = Long.parseLong(line.replaceAll("\\D", ""));
                return new ProcessUsage(
                        Duration.ofMillis(ticks * MILLIS_PER_TICK), kilobytes << 10);
            }
        }
        throw new IOException("process status contains no VmRSS line");
    }

    /**
     * Returns the size of all reachable objects; this triggers a full collection in the process.
     */
    public static long liveHeapBytes(long pid) throws IOException, InterruptedException {
        Process jcmd =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                Long.toString(pid),
                                "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        String output = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        return parseHistogram(output);
    }

    static long parseHistogram(String output) throws IOException {
        for (String line : output.split("\n")) {
            String[] columns = line.trim().split("\\s+");
            if (columns.length == 3 && "Total".equals(columns[0])) {
                return Long.parseLong(columns[2]);
            }
        }
        throw new IOException("class histogram contains no total: " + output);
    }
}
