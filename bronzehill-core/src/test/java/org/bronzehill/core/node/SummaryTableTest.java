package org.bronzehill.core.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.placement.SummaryDelta;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.ResidentAdapter;
import org.testng.annotations.Test;

/** Handling of received engine summaries and deltas. */
public class SummaryTableTest {

    private final ManualTimeSource time = ManualTimeSource.startingAt(Instant.EPOCH);
    private final SummaryTable table = new SummaryTable(time);
    private final List<Effect> effects = new ArrayList<>();

    private static EngineSummary summary(long sequence, long fencing, String adapter) {
        return EngineSummary.newBuilder()
                .setEngine("engine-1")
                .setHolder("entry-1")
                .setFencing(fencing)
                .setSequence(sequence)
                .addAdapters(ResidentAdapter.newBuilder().setAdapter(adapter).setVersion(1))
                .build();
    }

    private EngineSummaries accept(EngineSummary s) {
        return table.accept(
                "entry-1", EngineSummaries.newBuilder().addSummaries(s).build(), effects::add);
    }

    @Test(description = "guards against a view that stays wrong after a lost delta")
    public void fetchesTheFullSummaryAfterAGap() {
        EngineSummary first = summary(1, 5, "a");
        EngineSummary second = summary(2, 5, "b");
        EngineSummary third = summary(3, 5, "c");
        assertEquals(accept(first).getSummariesCount(), 1);
        assertEquals(accept(SummaryDelta.of(second, third, false)).getSummariesCount(), 0);
        assertEquals(effects.size(), 1);
        assertTrue(
                ((Effect.SendPeer) effects.get(0))
                        .envelope()
                        .getEngineSummariesRequest()
                        .getEnginesList()
                        .contains("engine-1"));

        accept(SummaryDelta.of(second, third, false));
        assertEquals(effects.size(), 1, "requests are limited in rate");
        time.advance(Duration.ofSeconds(1));
        accept(SummaryDelta.of(second, third, false));
        assertEquals(effects.size(), 2);
        assertEquals(accept(third).getSummaries(0).getAdapters(0).getAdapter(), "c");
    }

    @Test(
            description =
                    "guards against a late summary of a former holder that replaces a newer one")
    public void ignoresSummariesOfAnEarlierLease() {
        table.put(summary(1, 9, "new"));
        assertEquals(accept(summary(50, 8, "old")).getSummariesCount(), 0);
    }
}
