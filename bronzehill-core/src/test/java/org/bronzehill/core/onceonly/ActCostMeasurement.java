package org.bronzehill.core.onceonly;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActState;

/** Prints the memory used by a witness's claims, and the messages and bytes sent for one act. */
public final class ActCostMeasurement {

    private static final int ACTS = 200;

    private ActCostMeasurement() {}

    /**
     * Prints the memory for several numbers of claims and the messages for several numbers of
     * instances.
     */
    public static void main(String[] args) {
        for (int claims : new int[] {1_000, 10_000, 100_000}) {
            System.out.printf(Locale.ROOT, "%d claims: %.2f MB%n", claims, heapOf(claims) / 1e6);
        }
        for (int instances : new int[] {5, 9, 50, 190}) {
            messages(instances);
        }
    }

    private static long heapOf(int count) {
        long before = usedHeap();
        ClaimTable table = new ClaimTable(ManualTimeSource.startingAt(Instant.EPOCH));
        for (int i = 0; i < count; i++) {
            table.put(
                    ActClaimRecord.newBuilder()
                            .setKey("hillside-creamery:pickup-2026-12-04-" + i)
                            .setExecutor("entry-" + i % 9)
                            .setExecutorIncarnation(117_726_360_231_215_066L + i % 9)
                            .setAttempt(1)
                            .setState(ActState.ACT_STATE_DONE)
                            .setDigest(ByteString.copyFrom(new byte[32]))
                            .setHttpStatus(200)
                            .setContentType("application/json")
                            .setAnswer(ByteString.copyFrom(new byte[120]))
                            .setUpstream("runner-1")
                            .build());
        }
        long used = usedHeap() - before;
        if (table.size() != count) {
            throw new IllegalStateException("the table holds " + table.size() + " claims");
        }
        return used;
    }

    private static void messages(int instances) {
        ActFleet fleet = new ActFleet(instances, 1);
        fleet.run(ClaimCopier.MAX_ATTEMPT_DURATION.plusSeconds(1));
        long messages = fleet.messages;
        long bytes = fleet.bytes;
        for (int i = 0; i < ACTS; i++) {
            fleet.nodes
                    .get("entry-" + i % instances)
                    .submit("r" + i, "a" + i, Duration.ofSeconds(3));
            fleet.run(Duration.ofMillis(100));
        }
        System.out.printf(
                Locale.ROOT,
                "%d instances: %.1f messages, %.0f bytes an act%n",
                instances,
                (double) (fleet.messages - messages) / ACTS,
                (double) (fleet.bytes - bytes) / ACTS);
    }

    private static long usedHeap() {
        for (int i = 0; i < 10; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
