package org.bronzehill.core.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.bronzehill.core.model.CacheEvents;
import org.testng.annotations.Test;

/** Periodic reads of reports and cache events from leased engines. */
public class ReportScheduleTest {

    /** Guards against cache events that are never read or are read more than once a second. */
    @Test
    public void readsCacheEventsOncePerSecondFromTheLastSequence() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.cacheReads.clear();
        rig.cacheEvents.put("engine-1", List.of(new CacheEvents.Event(5, List.of(42L), List.of())));
        rig.run(Duration.ofSeconds(10));
        int reads = rig.cacheReads.size();
        assertTrue(reads >= 7 && reads <= 10, reads + " reads in 10 s");
        assertEquals(rig.cacheReads.get(0), new Effect.ReadCacheEvents("engine-1", 0));
        assertEquals(rig.cacheReads.get(1), new Effect.ReadCacheEvents("engine-1", 5));
    }

    /** Guards against cached prefixes that do not reach the routers of the region. */
    @Test
    public void publishesCachedPrefixesToAllRouters() {
        CoreRig rig = CoreRig.ready(2, 2);
        rig.cacheEvents.put("engine-2", List.of(new CacheEvents.Event(1, List.of(42L), List.of())));
        rig.run(Duration.ofSeconds(4));
        for (EntryCore core : rig.cores.values()) {
            assertEquals(
                    core.explain("a-1", "chat", 42).stream()
                            .filter(c -> c.prefixCached())
                            .map(c -> c.engine())
                            .toList(),
                    List.of("engine-2"));
        }
    }
}
