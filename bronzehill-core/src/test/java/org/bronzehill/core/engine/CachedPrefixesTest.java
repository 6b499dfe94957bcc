package org.bronzehill.core.engine;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.bronzehill.core.model.CacheEvents;
import org.testng.annotations.Test;

/** Tests the known content of an engine's prefix cache after late and missing events. */
public class CachedPrefixesTest {

    private static CacheEvents.Event event(long sequence, List<Long> stored, List<Long> removed) {
        return new CacheEvents.Event(sequence, stored, removed);
    }

    private static void deliver(SchedulerFixture f, long after, CacheEvents.Event... events) {
        f.scheduler.onCacheEvents(new CacheEvents(SchedulerFixture.ENGINE, after, List.of(events)));
    }

    private static List<Long> summaryPrefixes(SchedulerFixture f) {
        return f.scheduler.summary().getPrefixesList();
    }

    /** Guards against a summary that lacks stored prefixes or lists removed ones. */
    @Test
    public void followsStoredAndRemovedPrefixes() {
        SchedulerFixture f = SchedulerFixture.started();
        deliver(f, 0, event(1, List.of(11L, 12L), List.of()), event(2, List.of(13L), List.of(11L)));
        assertEquals(summaryPrefixes(f), List.of(12L, 13L));
        assertEquals(f.scheduler.lastCacheEventSequence(), 2);
        deliver(f, 2, event(3, List.of(), List.of(12L)));
        assertEquals(summaryPrefixes(f), List.of(13L));
    }

    /** Guards against listing a prefix that was removed by an event that got lost. */
    @Test
    public void dropsPrefixesStoredBeforeAGap() {
        SchedulerFixture f = SchedulerFixture.started();
        deliver(f, 0, event(1, List.of(11L), List.of()), event(2, List.of(12L), List.of()));
        deliver(f, 2, event(4, List.of(14L), List.of()));
        assertEquals(summaryPrefixes(f), List.of(14L));
    }

    /** Guards against listing prefixes from before a restart, which empties the engine's cache. */
    @Test
    public void dropsAllPrefixesWhenTheEngineRestarts() {
        SchedulerFixture f = SchedulerFixture.started();
        deliver(f, 0, event(1, List.of(11L), List.of()));
        f.reportFrom(2);
        assertEquals(summaryPrefixes(f), List.of());
        assertEquals(f.scheduler.lastCacheEventSequence(), 0);
        // This answer to a query sent before the restart describes the former cache.
        deliver(f, 1, event(2, List.of(12L), List.of()));
        assertEquals(summaryPrefixes(f), List.of());
    }

    /**
     * Guards against a set that grows with every prompt, and against dropping the latest prefixes.
     */
    @Test
    public void keepsABoundedNumberOfTheLatestPrefixes() {
        CachedPrefixes prefixes = new CachedPrefixes();
        for (long i = 1; i <= 1000; i++) {
            CacheEvents.Event e = event(i, List.of(i), List.of());
            prefixes.onEvents(new CacheEvents(SchedulerFixture.ENGINE, i - 1, List.of(e)));
        }
        assertEquals(
                prefixes.latest(Integer.MAX_VALUE),
                LongStream.rangeClosed(1000 - 255, 1000).boxed().toList());
        assertEquals(prefixes.latest(2), List.of(999L, 1000L));
    }
}
