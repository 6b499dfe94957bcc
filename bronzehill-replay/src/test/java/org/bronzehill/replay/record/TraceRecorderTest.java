package org.bronzehill.replay.record;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.harness.VirtualTime;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;
import org.bronzehill.replay.trace.TraceRecord;
import org.testng.annotations.Test;

/** Guards against recorded traces that cannot be read, or that contain access tokens or bodies. */
public class TraceRecorderTest {

    @Test
    public void recordsArrivalsAndRestartsWithoutSecrets() throws IOException {
        Deployment d = Deployment.named("driftless-small");
        Configuration c = d.configuration();
        ManualTimeSource time = ManualTimeSource.startingAt(VirtualTime.START);
        StringWriter text = new StringWriter();
        TraceRecorder r = TraceRecorder.create("entry-0", d.name(), () -> c, time, text);
        time.advance(Duration.ofMillis(40));
        byte[] body = "secret text".getBytes(StandardCharsets.UTF_8);
        r.record(
                new Input.ModelRequested(
                        new ModelRequest(
                                "q1",
                                "token-caller-0",
                                "route-chat",
                                "adapter-0",
                                null,
                                body,
                                true,
                                0,
                                16)));
        r.record(new Input.EngineReported(report(1)));
        r.record(new Input.EngineReported(report(2)));
        r.record(new Input.Tick());
        String written = text.toString();
        assertFalse(written.contains("token-caller-0") || written.contains("secret"), written);
        Trace trace =
                TraceFormat.read(
                        new ByteArrayInputStream(written.getBytes(StandardCharsets.UTF_8)));
        assertEquals(
                trace.records(),
                List.of(
                        new TraceRecord.Model(
                                40,
                                "q1",
                                "entry-0",
                                "caller-0",
                                "route-chat",
                                "adapter-0",
                                0,
                                16,
                                false),
                        new TraceRecord.EngineRestart(40, "engine-0", 0)));
    }

    private static EngineReport report(long start) {
        return new EngineReport("engine-0", start, 0, 0, List.of(), 0, 0, List.of());
    }
}
