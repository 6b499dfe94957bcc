package org.bronzehill.standin.driver.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bronzehill.standin.internal.Json;

/** Reads the audit records from the log of an entry instance. */
final class AuditRecordReader {

    private static final String START = "{\"time\":";

    private AuditRecordReader() {}

    static void read(Path log, RunObservations observations) throws IOException {
        // The log of a killed instance may end in a partial line with malformed UTF-8, which a
        // UTF-8 reader would reject.
        String text = new String(Files.readAllBytes(log), StandardCharsets.ISO_8859_1);
        for (String line : text.split("\n")) {
            int start = line.indexOf(START);
            if (start >= 0) {
                byte[] json = line.substring(start).getBytes(StandardCharsets.ISO_8859_1);
                JsonNode entry = Json.parse(json);
                if (entry.isObject()) {
                    observations.addAuditRecord(entry);
                }
            }
        }
    }
}
