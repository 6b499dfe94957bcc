package org.bronzehill.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.ResidentAdapter;
import org.testng.annotations.Test;

/** Tests summaries that are sent as deltas. */
public class SummaryDeltaTest {

    private static final long SEED = 11;

    private static EngineSummary random(Random random, long sequence) {
        EngineSummary.Builder summary =
                EngineSummary.newBuilder()
                        .setEngine("engine-1")
                        .setHolder("entry-1")
                        .setFencing(7)
                        .setSequence(sequence)
                        .setQueued(random.nextInt(5))
                        .setAvailable(random.nextBoolean());
        for (int i = 0; i < 12; i++) {
            if (random.nextBoolean()) {
                summary.addAdapters(
                        ResidentAdapter.newBuilder()
                                .setAdapter("adapter-" + i)
                                .setVersion(1 + random.nextInt(2))
                                .setLoading(random.nextInt(4) == 0)
                                .setRunning(random.nextInt(3)));
            }
        }
        random.longs(random.nextInt(3)).forEach(summary::addPrefixes);
        return summary.build();
    }

    private static EngineSummary sorted(EngineSummary summary) {
        EngineSummary.Builder b = summary.toBuilder().clearAdapters();
        summary.getAdaptersList().stream()
                .sorted((x, y) -> x.toString().compareTo(y.toString()))
                .forEach(b::addAdapters);
        return b.build();
    }

    @Test(description = "guards against a change that is missing in a delta")
    public void expandedDeltasEqualTheFullSummaries() {
        Random random = new Random(SEED);
        EngineSummary sent = random(random, 1);
        EngineSummary received = SummaryDelta.expand(null, sent).get();
        for (long sequence = 2; sequence < 500; sequence++) {
            EngineSummary next = random(random, sequence);
            EngineSummary delta = SummaryDelta.of(sent, next, false);
            received = SummaryDelta.expand(received, delta).get();
            assertEquals(sorted(received), sorted(next), "sequence " + sequence);
            sent = next;
        }
    }

    @Test(description = "guards against a delta that is applied to another base")
    public void deltaNeedsItsBase() {
        Random random = new Random(SEED);
        EngineSummary first = random(random, 1);
        EngineSummary second = random(random, 2);
        EngineSummary delta = SummaryDelta.of(second, random(random, 3), false);

        assertTrue(SummaryDelta.expand(null, delta).isEmpty());
        assertTrue(SummaryDelta.expand(first, delta).isEmpty());
        EngineSummary otherEpoch = second.toBuilder().setFencing(8).build();
        assertTrue(SummaryDelta.expand(otherEpoch, delta).isEmpty());
        assertTrue(SummaryDelta.expand(second, delta).isDefined());
    }

    @Test(description = "guards against a delta that omits more than running requests")
    public void deltasWithoutRunningCountsKeepPlacementAndWaitingRequests() {
        Random random = new Random(SEED);
        EngineSummary sent = random(random, 1);
        EngineSummary received = sent;
        for (long sequence = 2; sequence < 500; sequence++) {
            EngineSummary next = random(random, sequence);
            received = SummaryDelta.expand(received, SummaryDelta.of(sent, next, true)).get();
            assertEquals(sorted(withoutRunning(received)), sorted(withoutRunning(next)));
            sent = next;
        }
    }

    private static EngineSummary withoutRunning(EngineSummary summary) {
        EngineSummary.Builder b = summary.toBuilder();
        b.getAdaptersBuilderList().forEach(a -> a.clearRunning());
        return b.build();
    }

    @Test(description = "guards against routing by an outdated placement until the next repeat")
    public void distinguishesPlacementChangesFromCountChanges() {
        EngineSummary base = random(new Random(SEED), 1);
        EngineSummary busier = base.toBuilder().setRunning(9).setQueued(9).build();
        EngineSummary loaded =
                base.toBuilder()
                        .addAdapters(ResidentAdapter.newBuilder().setAdapter("new").setVersion(1))
                        .build();
        assertFalse(SummaryDelta.differsInPlacement(base, busier));
        assertTrue(SummaryDelta.differsInPlacement(base, loaded));
    }
}
