package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.bronzehill.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which limits apply to what callers began before a change. */
public class CallerLimitHistoryTest {

    private ManualTimeSource time;
    private CallerLimitHistory history;

    @BeforeMethod
    public void createHistory() {
        time = ManualTimeSource.startingAt(Instant.EPOCH);
        history = new CallerLimitHistory();
    }

    private void change(int idleSeconds) {
        history.onChange(
                new CallerLimits(
                        4096, 1000, Duration.ofSeconds(3), Duration.ofSeconds(idleSeconds)),
                time.nanoTime());
    }

    private long idleSecondsSince(long beginNanos) {
        return history.since(beginNanos).idleTimeout().toSeconds();
    }

    private void advance(int seconds) {
        time.advance(Duration.ofSeconds(seconds));
    }

    /** Guards against an idle period that a lower limit ends early, also after several changes. */
    @Test
    public void periodKeepsTheLargestLimitSinceItsBeginning() {
        change(15);
        advance(100);
        long begin = time.nanoTime();
        advance(1);
        change(4);
        advance(1);
        change(2);
        assertEquals(idleSecondsSince(begin), 15);
        advance(20);
        change(8);
        assertEquals(idleSecondsSince(begin), 15);
        change(20);
        assertEquals(idleSecondsSince(begin), 20);
    }

    /** Guards against lower limits that are never in force. */
    @Test
    public void periodThatBeginsWellAfterAChangeHasTheLowerLimit() {
        change(15);
        advance(100);
        change(4);
        advance((int) CallerLimitHistory.NOTICE_TIME.toSeconds());
        assertEquals(idleSecondsSince(time.nanoTime()), 15);
        advance(1);
        assertEquals(idleSecondsSince(time.nanoTime()), 4);
    }

    @Test
    public void limitsBeforeTheFirstConfigurationAreForgotten() {
        long begin = time.nanoTime();
        change(4);
        assertEquals(idleSecondsSince(begin), 4);
    }

    /** Guards against a limit that is forgotten because many others follow it. */
    @Test
    public void seriesOfChangesKeepsTheLargestLimit() {
        change(15);
        long begin = time.nanoTime();
        for (int i = 0; i < 1000; i++) {
            advance(1);
            change(1 + i % 7);
        }
        assertEquals(idleSecondsSince(begin), 15);
        advance(6);
        assertEquals(idleSecondsSince(time.nanoTime()), 1 + 999 % 7);
    }
}
