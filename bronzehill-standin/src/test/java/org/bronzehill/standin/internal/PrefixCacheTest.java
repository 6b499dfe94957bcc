package org.bronzehill.standin.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Guards against cache events without delay and gaps, which would hide faults of their readers. */
public class PrefixCacheTest {

    @Test
    public void eventsComeLateAndWithGaps() {
        PrefixCache cache = PrefixCache.create();
        for (int i = 1; i <= 4; i++) {
            assertFalse(cache.use(i, 0, 3));
        }
        assertTrue(cache.use(1, 0, 3));
        assertEquals(((List<?>) cache.eventsAfter(0, 100).get("events")).size(), 0);
        assertEquals(((List<?>) cache.eventsAfter(0, 500).get("events")).size(), 3);
        assertEquals(((List<?>) cache.eventsAfter(2, 500).get("events")).size(), 1);
    }
}
