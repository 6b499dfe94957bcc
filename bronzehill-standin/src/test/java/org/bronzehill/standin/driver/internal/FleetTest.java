package org.bronzehill.standin.driver.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against processes that outlive the driver. A paused process does not react to SIGTERM and
 * must be killed.
 */
public class FleetTest {

    private Path logs;

    @BeforeMethod
    public void createDirectory() throws IOException {
        logs = Files.createTempDirectory("fleet");
    }

    @Test
    public void closeEndsEveryProcessEvenAPausedOne() throws IOException, InterruptedException {
        Fleet fleet = Fleet.create(logs);
        fleet.start("running", List.of("sleep", "1000"), Map.of());
        ManagedProcess paused = fleet.start("paused", List.of("sleep", "1000"), Map.of());
        paused.pause();
        assertEquals(fleet.running(), 2);
        fleet.close();
        assertTrue(paused.awaitExit(10));
        assertEquals(fleet.running(), 0);
        assertThrows(
                IOException.class, () -> fleet.start("late", List.of("sleep", "1000"), Map.of()));
    }

    @Test
    public void resumedProcessReactsToTermination() throws IOException, InterruptedException {
        try (Fleet fleet = Fleet.create(logs)) {
            ManagedProcess process = fleet.start("p", List.of("sleep", "1000"), Map.of());
            process.pause();
            process.resume();
            process.terminate();
            assertTrue(process.awaitExit(10));
            assertFalse(process.isAlive());
        }
    }

    @Test
    public void exitStatusOfACrashIsCounted() throws IOException, InterruptedException {
        try (Fleet fleet = Fleet.create(logs)) {
            assertTrue(fleet.start("c", List.of("sh", "-c", "exit 70"), Map.of()).awaitExit(10));
            assertEquals(fleet.countExitedWith(70), 1);
        }
    }
}
