package org.bronzehill.entry.runtime;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.replay.record.TraceRecorder;
import org.jboss.logging.Logger;

/** Records the inputs of the core as a trace for {@code bronzehill replay}. */
public final class InputRecorder implements Consumer<Input>, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(InputRecorder.class);

    private final TraceRecorder recorder;
    private boolean failed;

    private InputRecorder(TraceRecorder recorder) {
        this.recorder = recorder;
    }

    /**
     * Opens a trace file.
     *
     * @param deployment name of a deployment that the replay tool supports
     * @param configuration supplies the current configuration; called on the core thread only
     */
    public static InputRecorder open(
            Path file,
            String instanceId,
            String deployment,
            Supplier<Configuration> configuration,
            TimeSource time)
            throws IOException {
        AsyncFileWriter out = AsyncFileWriter.open(file);
        return new InputRecorder(
                TraceRecorder.create(instanceId, deployment, configuration, time, out));
    }

    /** Records an input; called on the core thread. */
    @Override
    public void accept(Input input) {
        if (failed) {
            return;
        }
        try {
            recorder.record(input);
        } catch (IOException e) {
            failed = true;
            LOG.error("cannot record an input; the trace ends here", e);
        }
    }

    /** Writes the rest of the trace; to be called after the core thread has ended. */
    @Override
    public void close() throws IOException {
        recorder.close();
    }
}
