package org.bronzehill.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.ResidentAdapter;

/**
 * Prints the summary traffic per instance, comparing full summaries on each change with deltas at
 * the intervals of {@link SummaryInterval}. Every engine has 16 adapters, its counts change every
 * 100 ms and it loads one adapter every 10 s.
 */
public final class SummaryCostMeasurement {

    private static final int SECONDS = 120;
    private static final int TICKS_PER_SECOND = 10;
    private static final int SLOTS = 16;
    private static final int PREFIXES = 64;

    private SummaryCostMeasurement() {}

    /** Prints one row per cluster size. */
    public static void main(String[] args) {
        System.out.println(
                "instances engines full-sent full-received delta-sent delta-received (B/s)");
        for (int[] size : new int[][] {{9, 8}, {25, 40}, {95, 150}, {190, 300}}) {
            double full = bytesPerSecond(size[1], false);
            double delta = bytesPerSecond(size[1], true);
            double sent = (double) size[1] / size[0] * (size[0] - 1);
            System.out.printf(
                    Locale.ROOT,
                    "%9d %7d %9.0f %13.0f %10.0f %14.0f%n",
                    size[0],
                    size[1],
                    full * sent,
                    full * size[1],
                    delta * sent,
                    delta * size[1]);
        }
    }

    /** Returns the bytes per second that the summaries of one engine take for one receiver. */
    private static double bytesPerSecond(int engines, boolean deltas) {
        Random random = new Random(3);
        List<ResidentAdapter.Builder> adapters = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            adapters.add(ResidentAdapter.newBuilder().setAdapter("goat-route-" + i).setVersion(1));
        }
        long bytes = 0;
        long lastTick = -1;
        EngineSummary last = null;
        for (long tick = 0; tick < (long) SECONDS * TICKS_PER_SECOND; tick++) {
            change(random, adapters, tick);
            EngineSummary next = summary(adapters, tick + 1);
            long age = (tick - lastTick) * 1000 / TICKS_PER_SECOND;
            boolean due =
                    last == null
                            || !deltas
                            || SummaryDelta.differsInPlacement(last, next)
                            || age >= SummaryInterval.betweenCountUpdates(engines).toMillis();
            if (due) {
                bytes +=
                        size(
                                deltas && last != null
                                        ? SummaryDelta.of(
                                                last,
                                                next,
                                                SummaryInterval.omitsRunningCounts(engines))
                                        : next);
                last = next;
                lastTick = tick;
            }
        }
        return (double) bytes / SECONDS;
    }

    private static void change(Random random, List<ResidentAdapter.Builder> adapters, long tick) {
        adapters.get(random.nextInt(SLOTS)).setRunning(random.nextInt(4));
        if (tick % TICKS_PER_SECOND == 0) {
            adapters.get(random.nextInt(SLOTS)).setWaiting(random.nextInt(3));
        }
        if (tick % (10L * TICKS_PER_SECOND) == 0) {
            adapters.get(random.nextInt(SLOTS)).setAdapter("goat-route-" + random.nextInt(90_000));
        }
    }

    private static EngineSummary summary(List<ResidentAdapter.Builder> adapters, long sequence) {
        EngineSummary.Builder summary =
                EngineSummary.newBuilder()
                        .setEngine("engine-123")
                        .setHolder("entry-123")
                        .setFencing(456_789_012_345L)
                        .setSequence(sequence)
                        .setAdapterSlots(SLOTS)
                        .setBatchSize(64)
                        .setRunning(30)
                        .setQueued(3)
                        .setReportAgeMs(120)
                        .setAvailable(true)
                        .setDataCentre("dc-1")
                        .setBaseModel("base-7b");
        adapters.forEach(summary::addAdapters);
        for (int i = 0; i < PREFIXES; i++) {
            summary.addPrefixes(i);
        }
        return summary.build();
    }

    private static long size(EngineSummary summary) {
        return Envelope.newBuilder()
                .setFrom("entry-123")
                .setFromIncarnation(123_456_789_012L)
                .setTo("entry-124")
                .setConfigurationNumber(1_000)
                .setListVersion(1_000)
                .setEngineSummaries(EngineSummaries.newBuilder().addSummaries(summary))
                .build()
                .getSerializedSize();
    }
}
