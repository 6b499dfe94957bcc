package org.bronzehill.replay.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PushbackInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Reads and writes traces: one JSON object per line, optionally compressed with gzip. */
public final class TraceFormat {

    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final int GZIP_FIRST_BYTE = 0x1f;

    private TraceFormat() {}

    /** Returns the line of a record without line separator. */
    public static String line(TraceRecord value) {
        return write(value, TraceRecord.class);
    }

    /** Returns the header line without line separator. */
    public static String line(TraceHeader header) {
        return write(header, TraceHeader.class);
    }

    private static String write(Object value, Class<?> type) {
        try {
            return MAPPER.writerFor(type).writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("trace records are always serializable", e);
        }
    }

    /** Reads a trace file; recognises gzip by its first byte. */
    public static Trace read(Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return read(in);
        }
    }

    /** Reads a trace; recognises gzip by its first byte. */
    public static Trace read(InputStream in) throws IOException {
        try (BufferedReader lines = reader(in)) {
            String first = lines.readLine();
            if (first == null) {
                throw new IOException("the trace is empty");
            }
            TraceHeader header = MAPPER.readValue(first, TraceHeader.class);
            if (!TraceHeader.FORMAT.equals(header.format())
                    || header.version() != TraceHeader.VERSION) {
                throw new IOException(
                        "not a trace of version " + TraceHeader.VERSION + ": " + first);
            }
            return new Trace(header, records(lines));
        }
    }

    private static List<TraceRecord> records(BufferedReader lines) throws IOException {
        List<TraceRecord> records = new ArrayList<>();
        int number = 1;
        for (String l = lines.readLine(); l != null; l = lines.readLine()) {
            number++;
            if (l.isBlank()) {
                continue;
            }
            try {
                records.add(MAPPER.readValue(l, TraceRecord.class));
            } catch (JsonProcessingException e) {
                throw new IOException("line " + number + ": " + e.getOriginalMessage(), e);
            }
        }
        return records;
    }

    /** Writes a trace file; compresses it if the name ends with {@code .gz}. */
    public static void write(Trace trace, Path file) throws IOException {
        try (OutputStream raw = Files.newOutputStream(file);
                OutputStream out =
                        file.toString().endsWith(".gz") ? new GZIPOutputStream(raw) : raw;
                BufferedWriter w =
                        new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8))) {
            w.write(line(trace.header()));
            w.write('\n');
            for (TraceRecord r : trace.records()) {
                w.write(line(r));
                w.write('\n');
            }
        }
    }

    /** Returns a reader of the text; decompresses it if the first byte is that of gzip. */
    public static BufferedReader reader(InputStream in) throws IOException {
        PushbackInputStream peek = new PushbackInputStream(in, 1);
        int first = peek.read();
        if (first >= 0) {
            peek.unread(first);
        }
        InputStream plain = first == GZIP_FIRST_BYTE ? new GZIPInputStream(peek) : peek;
        return new BufferedReader(new InputStreamReader(plain, StandardCharsets.UTF_8));
    }
}
