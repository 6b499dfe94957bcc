package org.bronzehill.replay.expect;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPOutputStream;
import org.bronzehill.replay.trace.TraceFormat;

/**
 * Reads and writes expectation files: one JSON object per line, optionally compressed with gzip.
 */
public final class ExpectationFile {

    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private ExpectationFile() {}

    /** Reads an expectation file. */
    public static List<Expectation> read(Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return read(in);
        }
    }

    /** Reads expectations. */
    public static List<Expectation> read(InputStream in) throws IOException {
        List<Expectation> all = new ArrayList<>();
        try (BufferedReader lines = TraceFormat.reader(in)) {
            for (String l = lines.readLine(); l != null; l = lines.readLine()) {
                if (!l.isBlank()) {
                    all.add(MAPPER.readValue(l, Expectation.class));
                }
            }
        }
        return all;
    }

    /** Writes an expectation file; compresses it if the name ends with {@code .gz}. */
    public static void write(List<Expectation> all, Path file) throws IOException {
        try (OutputStream raw = Files.newOutputStream(file);
                OutputStream out =
                        file.toString().endsWith(".gz") ? new GZIPOutputStream(raw) : raw) {
            for (Expectation e : all) {
                out.write(line(e).getBytes(StandardCharsets.UTF_8));
                out.write('\n');
            }
        }
    }

    private static String line(Expectation e) {
        try {
            return MAPPER.writeValueAsString(e);
        } catch (JsonProcessingException x) {
            throw new IllegalStateException("expectations are always serializable", x);
        }
    }
}
