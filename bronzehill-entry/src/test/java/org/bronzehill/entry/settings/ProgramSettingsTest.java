package org.bronzehill.entry.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests the settings from flags and environment variables. */
public class ProgramSettingsTest {

    private static Map<String, String> valid() {
        Map<String, String> flags = new HashMap<>();
        flags.put("id", "entry-1");
        flags.put("data-centre", "dc-1");
        flags.put("region", "r-1");
        flags.put("configuration-uris", "http://127.0.0.1:9101,http://127.0.0.1:9102");
        flags.put("instance-list-uris", "http://127.0.0.1:9103");
        return flags;
    }

    /** Guards against reporting only the first of several errors. */
    @Test
    public void listsAllErrorsAtOnce() {
        Map<String, String> flags = valid();
        flags.put("id", "");
        flags.put("http-port", "70000");
        flags.put("host", "somewhere");
        flags.put("configuration-uris", "127.0.0.1");
        flags.put("trace-exporter", "paper");
        Either<List<String>, ProgramSettings> read = ProgramSettings.read(flags, Map.of());
        assertEquals(read.getLeft().size(), 5, read.getLeft().toString());
        assertTrue(read.getLeft().get(0).contains("BRONZEHILL_ID"));
    }

    /** Guards against an environment variable that overrides a flag or is ignored. */
    @Test
    public void prefersFlagsToTheEnvironment() {
        Map<String, String> environment =
                Map.of("BRONZEHILL_ID", "entry-9", "BRONZEHILL_PEER_PORT", "7171");
        ProgramSettings settings = ProgramSettings.read(valid(), environment).get();
        assertEquals(settings.identity().id(), "entry-1");
        assertEquals(settings.ports().peer(), 7171);
        assertEquals(settings.ports().http(), 8080);
        assertEquals(settings.configurationUris().size(), 2);
    }
}
