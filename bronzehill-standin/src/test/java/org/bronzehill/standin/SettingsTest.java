package org.bronzehill.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.Test;

/**
 * Guards against settings errors that are reported one at a time or only when a setting is used.
 */
public class SettingsTest {

    @Test
    public void everyErrorIsListedAtOnce() {
        Settings.Checked checked =
                Settings.read(
                        Map.of("role", "engine,baker", "port", "-1", "store-uri", "ftp://x"),
                        Map.of("BRONZEHILL_STANDIN_PROFILE", "nowhere"));
        assertTrue(checked.settings().isEmpty());
        assertEquals(checked.errors().size(), 4, checked.errors().toString());
    }

    @Test
    public void flagsOverrideTheEnvironmentAndTheProfileProvidesDefaults() {
        Settings settings =
                Settings.read(
                                Map.of("role", "engine", "batch-size", "3"),
                                Map.of(
                                        "BRONZEHILL_STANDIN_BATCH_SIZE", "4",
                                        "BRONZEHILL_STANDIN_PROFILE", "sialkot"))
                        .settings()
                        .orElseThrow();
        assertEquals(settings.engine().batchSize(), 3);
        assertEquals(settings.storeParameters(), Profile.SIALKOT.store());
    }
}
