package org.bronzehill.core.forward;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/** Tests after which silence a stream is continued by another upstream. */
public class StallTimeoutsTest {

    private static Route route(Duration eventTimeout) {
        return new Route(
                "r",
                "h",
                "/x/",
                RequestKind.RESUMABLE_STREAM,
                Duration.ofSeconds(60),
                Duration.ofMillis(500),
                1,
                List.of(new ServiceShare("pool", 1)),
                2,
                eventTimeout);
    }

    /**
     * Callers that accept pauses of one second abandon a stream after eight of them. Guards against
     * cutting sound streams whose pauses the callers accept.
     */
    @Test
    public void slowStreamIsNotCutWithinPausesThatItsCallersAccept() {
        Duration timeout = new StallTimeouts().timeout(route(Duration.ofSeconds(8)), true);
        assertTrue(timeout.compareTo(Duration.ofMillis(2000)) > 0, timeout.toString());
    }

    /** Guards against a stalled stream that is continued only after its caller has left. */
    @Test
    public void stalledStreamIsContinuedBeforeItsCallerLeaves() {
        for (int seconds = 2; seconds <= 30; seconds++) {
            Duration limit = Duration.ofSeconds(seconds);
            Duration timeout = new StallTimeouts().timeout(route(limit), true);
            // At least half a second remains for an event of the other upstream.
            assertTrue(timeout.plusMillis(500).compareTo(limit) <= 0, limit + " " + timeout);
        }
    }
}
