package org.bronzehill.bench;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.generate.Scenario;
import org.bronzehill.replay.generate.TraceGenerator;
import org.bronzehill.replay.harness.DecisionCore;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;
import org.bronzehill.replay.harness.Simulation;
import org.bronzehill.replay.trace.Trace;

/**
 * Measures how the messages, CPU time and memory of one decision core grow with the numbers of
 * entry instances, engines and adapters. The cores run in virtual time.
 */
public final class Slopes {

    private static final long SETTLE_MS = 15_000;
    private static final long MEASURED_MS = 20_000;
    private static final int[][] SIZES = {
        {9, 8, 3000},
        {38, 60, 3000},
        {95, 150, 3000},
        {9, 60, 3000},
        {9, 150, 3000},
        {9, 8, 12_000},
        {9, 8, 48_000},
    };

    private Slopes() {}

    /** Prints one line for each deployment size, or only for the size in the three arguments. */
    public static void main(String[] args) {
        System.out.println(
                "entries engines adapters | messages/s bytes/s CPU-ms/s allocated-KB/s heap-MB"
                        + " (each per entry instance) | config calls/s (all) | answered OK");
        if (args.length == 3) {
            System.out.println(
                    measure(
                            Integer.parseInt(args[0]),
                            Integer.parseInt(args[1]),
                            Integer.parseInt(args[2])));
            return;
        }
        for (int[] s : SIZES) {
            System.out.println(measure(s[0], s[1], s[2]));
        }
    }

    private static String measure(int entries, int engines, int adapters) {
        Deployment d = Fixtures.deployment(adapters, engines, entries);
        Trace trace =
                TraceGenerator.generate(
                        d,
                        new TraceGenerator.Workload(entries, 1.5, 30, 0),
                        List.of(Scenario.STEADY),
                        1);
        List<DecisionCore> cores = new ArrayList<>();
        DecisionCore.Factory factory =
                (settings, time, random) -> {
                    DecisionCore c = DecisionCore.entryCore().create(settings, time, random);
                    cores.add(c);
                    return c;
                };
        long empty = usedHeap();
        Simulation simulation = Simulation.create(d, factory, 1);
        simulation.schedule(trace.records());
        simulation.runUntilMs(SETTLE_MS);
        RunResult before = simulation.result();
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long cpu = threads.getCurrentThreadCpuTime();
        long allocated = threads.getCurrentThreadAllocatedBytes();
        simulation.runUntilMs(SETTLE_MS + MEASURED_MS);
        cpu = threads.getCurrentThreadCpuTime() - cpu;
        allocated = threads.getCurrentThreadAllocatedBytes() - allocated;
        RunResult after = simulation.result();
        double heap = (usedHeap() - empty) / (double) cores.size();
        double instanceSeconds = entries * (MEASURED_MS / 1000.0);
        long ok =
                after.log()
                        .ofType(LogEvent.RequestAnswered.class)
                        .filter(a -> a.code() == ResultCode.OK)
                        .count();
        return String.format(
                        Locale.ROOT,
                        "%7d %7d %8d | %8.1f %8.0f %8.2f %10.1f %8.2f | %8.2f | %d of %d",
                        entries,
                        engines,
                        adapters,
                        (after.messages() - before.messages()) / instanceSeconds,
                        (after.messageBytes() - before.messageBytes()) / instanceSeconds,
                        cpu / 1e6 / instanceSeconds,
                        allocated / 1e3 / instanceSeconds,
                        heap / 1e6,
                        (after.configurationReads() - before.configurationReads())
                                / (MEASURED_MS / 1000.0),
                        ok,
                        after.log().ofType(LogEvent.RequestArrived.class).count())
                + "\n    bytes/s by message kind: "
                + formatBytesByKind(before, after, instanceSeconds);
    }

    private static String formatBytesByKind(
            RunResult before, RunResult after, double instanceSeconds) {
        return after.messageBytesByKind().entrySet().stream()
                .map(
                        e -> {
                            long grown =
                                    e.getValue()
                                            - before.messageBytesByKind()
                                                    .getOrDefault(e.getKey(), 0L);
                            return Map.entry(e.getKey(), Math.round(grown / instanceSeconds));
                        })
                .filter(e -> e.getValue() >= 50)
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .map(e -> e.getKey().toLowerCase(Locale.ROOT) + ' ' + e.getValue())
                .collect(Collectors.joining(", "));
    }

    private static long usedHeap() {
        System.gc();
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }
}
