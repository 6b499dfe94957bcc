package org.bronzehill.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Finds the audit records of a request in log files. */
public final class AuditSearch {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private AuditSearch() {}

    /** An audit record with the file and line that contain it. */
    public record Match(Path file, long line, JsonNode record) {}

    /** Returns the audit records of a request, in the order of files and lines. */
    public static List<Match> find(String requestId, List<Path> files) throws IOException {
        List<Match> matches = new ArrayList<>();
        for (Path file : files) {
            try (BufferedReader in = Files.newBufferedReader(file)) {
                long lineNumber = 0;
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    lineNumber++;
                    JsonNode record = line.contains(requestId) ? parse(line) : null;
                    if (record != null && requestId.equals(record.path("requestId").asText())) {
                        matches.add(new Match(file, lineNumber, record));
                    }
                }
            }
        }
        return matches;
    }

    /**
     * Returns the JSON value that starts at the first brace of a line, or null if there is none.
     */
    private static JsonNode parse(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return null;
        }
        try {
            return MAPPER.readTree(line.substring(start));
        } catch (JsonProcessingException e) {
            return null;
        }
    }
}
