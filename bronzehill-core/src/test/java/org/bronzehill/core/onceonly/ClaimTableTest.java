package org.bronzehill.core.onceonly;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.List;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActState;
import org.testng.annotations.Test;

/**
 * Guards against a copied claim that replaces the claim accepted by a majority. Random schedule 483
 * of {@code bronzehill replay --random} ran an act twice in this way: a second executor replaced an
 * abandoned minority claim by its attempt 2, and copies of that claim replaced the running attempt
 * 1 of the first executor at every witness.
 */
public class ClaimTableTest {

    private static final ActClaimRecord RUNNING = claim("entry-1", 1, ActState.ACT_STATE_RUNNING);
    private static final ActClaimRecord RIVAL = claim("entry-4", 2, ActState.ACT_STATE_CLAIMING);

    private final ClaimTable table =
            new ClaimTable(ManualTimeSource.startingAt(Instant.parse("2026-01-01T00:00:00Z")));

    private static ActClaimRecord claim(String executor, int attempt, ActState state) {
        return ActClaimRecord.newBuilder()
                .setKey("member:key")
                .setExecutor(executor)
                .setExecutorIncarnation(1)
                .setAttempt(attempt)
                .setState(state)
                .build();
    }

    @Test
    public void keepsBothOfTwoConflictingCopies() {
        table.put(RUNNING);
        table.merge(RIVAL);
        assertEquals(table.find("member:key"), List.of(RUNNING, RIVAL));
        table.remove(RIVAL);
        assertEquals(table.find("member:key"), List.of(RUNNING));
    }

    @Test
    public void keepsTheLaterStateOfTheSameExecutor() {
        ActClaimRecord done = claim("entry-1", 1, ActState.ACT_STATE_DONE);
        table.put(RIVAL);
        table.merge(RUNNING);
        table.merge(done);
        table.merge(RUNNING);
        assertEquals(table.find("member:key"), List.of(RIVAL, done));
    }
}
