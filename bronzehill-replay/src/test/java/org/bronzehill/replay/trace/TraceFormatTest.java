package org.bronzehill.replay.trace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.generate.Scenario;
import org.bronzehill.replay.generate.TraceGenerator;
import org.testng.annotations.Test;

/** Guards against traces that change when they are written and read back. */
public class TraceFormatTest {

    private static final Trace TRACE =
            TraceGenerator.generate(
                    Deployment.named("sialkot-small"),
                    new TraceGenerator.Workload(20, 1, 10, 5),
                    Arrays.asList(Scenario.values()),
                    3);

    @Test
    public void writtenTraceIsReadBackUnchanged() throws IOException {
        for (String suffix : new String[] {".trace", ".trace.gz"}) {
            Path file = Files.createTempFile("trace", suffix);
            TraceFormat.write(TRACE, file);
            assertTrue(TraceFormat.read(file).equals(TRACE), suffix);
            Files.delete(file);
        }
    }

    /**
     * Guards against a recorded trace whose replay ends at time 0, because its header has no
     * duration.
     */
    @Test
    public void recordedTraceEndsAfterItsLastRecord() {
        TraceHeader header = TraceHeader.of("driftless", 0, 0, "recorded");
        Trace recorded = new Trace(header, TRACE.records());
        long last = TRACE.records().get(TRACE.records().size() - 1).at();
        assertTrue(recorded.durationMs() > last, "ends at " + recorded.durationMs());
        assertEquals(new Trace(header, List.of()).durationMs(), 0);
        assertEquals(TRACE.durationMs(), TRACE.header().durationMs());
    }

    @Test
    public void unknownRecordIsReportedWithItsLine() {
        String text = TraceFormat.line(TRACE.header()) + "\n{\"type\":\"unknown\",\"at\":1}\n";
        IOException e = expectThrows(IOException.class, () -> TraceFormat.read(in(text)));
        assertEquals(e.getMessage().substring(0, 7), "line 2:");
    }

    @Test
    public void otherFormatVersionIsRejected() {
        String text = TraceFormat.line(TRACE.header()).replace("\"version\":1", "\"version\":2");
        expectThrows(IOException.class, () -> TraceFormat.read(in(text)));
    }

    private static ByteArrayInputStream in(String text) {
        return new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8));
    }
}
