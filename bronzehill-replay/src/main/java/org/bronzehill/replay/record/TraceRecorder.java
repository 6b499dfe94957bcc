package org.bronzehill.replay.record;

import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.model.ServiceRequest;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.replay.trace.TraceFormat;
import org.bronzehill.replay.trace.TraceHeader;
import org.bronzehill.replay.trace.TraceRecord;

/**
 * Records the inputs of a live entry instance as a trace. Request bodies and access tokens are not
 * recorded: a caller is recorded under its configured name, and in place of the body of a model
 * request its maximum number of output tokens. Not thread-safe; must be used on the thread that
 * delivers inputs.
 */
public final class TraceRecorder implements AutoCloseable {

    private static final long NANOS_PER_MS = 1_000_000;
    private static final int MAX_LINES = 1_000_000;

    private final String entry;
    private final Supplier<Configuration> configuration;
    private final TimeSource time;
    private final Writer out;
    private final long startNanos;
    private final Map<String, ListedState> upstreams = new HashMap<>();
    private final Map<String, Long> engineStartNumbers = new HashMap<>();
    private long configurationNumber;
    private int lines;

    private TraceRecorder(
            String entry, Supplier<Configuration> configuration, TimeSource time, Writer out) {
        this.entry = entry;
        this.configuration = configuration;
        this.time = time;
        this.out = out;
        this.startNanos = time.nanoTime();
    }

    /**
     * Starts a trace of the instance {@code entry}. The trace can be replayed only if {@code
     * deployment} is the name of a deployment that the replay defines.
     */
    public static TraceRecorder create(
            String entry,
            String deployment,
            Supplier<Configuration> configuration,
            TimeSource time,
            Writer out)
            throws IOException {
        TraceRecorder r = new TraceRecorder(entry, configuration, time, out);
        r.write(TraceFormat.line(TraceHeader.of(deployment, 0, 0, "recorded at " + entry)));
        return r;
    }

    /** Writes the records for an input, if any; writes nothing after a million lines. */
    public void record(Input input) throws IOException {
        if (input instanceof Input.ModelRequested m) {
            writeModelRequest(m.request());
        } else if (input instanceof Input.ServiceRequested s) {
            writeServiceRequest(s.request());
        } else if (input instanceof Input.CallerDisconnected g) {
            write(new TraceRecord.CallerGone(elapsedMs(), g.requestId()));
        } else if (input instanceof Input.InstanceListRead l) {
            writeListChanges(l.list());
        } else if (input instanceof Input.EngineReported r) {
            writeRestart(r.report());
        } else if (input instanceof Input.DrainRequested) {
            write(new TraceRecord.Drain(elapsedMs(), entry));
        } else if (input instanceof Input.ConfigurationReadFailed) {
            write(new TraceRecord.ConfigurationService(elapsedMs(), "down"));
        } else if (input instanceof Input.ConfigurationRead c
                && c.image().number() > configurationNumber) {
            if (configurationNumber > 0) {
                write(new TraceRecord.Publish(elapsedMs(), c.image().number(), Map.of()));
            }
            configurationNumber = c.image().number();
        }
    }

    private long elapsedMs() {
        return (time.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    private void writeModelRequest(ModelRequest q) throws IOException {
        write(
                new TraceRecord.Model(
                        elapsedMs(),
                        q.requestId(),
                        entry,
                        callerName(q.token()),
                        q.kind(),
                        q.adapter(),
                        q.timeLeft() == null ? 0 : q.timeLeft().toMillis(),
                        q.maxTokens(),
                        false));
    }

    private void writeServiceRequest(ServiceRequest q) throws IOException {
        write(
                new TraceRecord.Service(
                        elapsedMs(),
                        q.requestId(),
                        entry,
                        callerName(q.token()),
                        q.kind(),
                        q.operation(),
                        q.key(),
                        q.timeLeft() == null ? 0 : q.timeLeft().toMillis()));
    }

    private String callerName(String token) {
        String hash = ImageCodec.hash(token.getBytes(StandardCharsets.UTF_8));
        return configuration.get().caller(hash).map(Configuration.Caller::name).getOrElse("");
    }

    private void writeListChanges(InstanceList list) throws IOException {
        for (Upstream u : list.upstreams()) {
            ListedState before = upstreams.put(u.id(), u.state());
            if (before != null && before != u.state()) {
                String state = u.state() == ListedState.LEAVING ? "leaving" : "live";
                write(new TraceRecord.UpstreamState(elapsedMs(), u.id(), state));
            }
        }
        for (String id : java.util.List.copyOf(upstreams.keySet())) {
            if (list.upstreams().stream().noneMatch(u -> u.id().equals(id))) {
                upstreams.remove(id);
                engineStartNumbers.remove(id);
                write(new TraceRecord.UpstreamState(elapsedMs(), id, "absent"));
            }
        }
    }

    private void writeRestart(EngineReport r) throws IOException {
        Long before = engineStartNumbers.put(r.engine(), r.startNumber());
        if (before != null && before != r.startNumber()) {
            write(new TraceRecord.EngineRestart(elapsedMs(), r.engine(), 0));
        }
    }

    private void write(TraceRecord r) throws IOException {
        write(TraceFormat.line(r));
    }

    private void write(String line) throws IOException {
        if (lines < MAX_LINES) {
            lines++;
            out.write(line + '\n');
        }
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
