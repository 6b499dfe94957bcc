package org.bronzehill.replay.generate;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bronzehill.replay.expect.ExpectationFile;
import org.bronzehill.replay.expect.ExpectationGenerator;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;

/**
 * Traces that are shipped as resources: every scenario alone, some pairs of scenarios, and some
 * scenarios twice in one trace.
 */
public final class ShippedTraces {

    /** Resource directory of the traces. */
    public static final String RESOURCE_DIRECTORY = "/traces/";

    private static final TraceGenerator.Workload WORKLOAD =
            new TraceGenerator.Workload(8, 1.3, 30, 30);
    private static final Scenario[][] PAIRS = {
        {Scenario.POPULARITY_SHIFT, Scenario.FAILING_LOADS},
        {Scenario.PARTITION, Scenario.CONFIGURATION_DOWN},
        {Scenario.PARTITION, Scenario.LATE_WAKING},
        {Scenario.LATE_WAKING, Scenario.LOST_ANSWERS},
        {Scenario.KILLED_INSTANCE, Scenario.LOST_ANSWERS},
        {Scenario.CRASHING_REQUEST, Scenario.ENGINE_RESTART},
        {Scenario.SILENT_CONNECTION, Scenario.PLANNED_STOP},
        {Scenario.LEAVING_UPSTREAM, Scenario.PARTITION},
    };
    private static final Scenario[] REPEATED = {
        Scenario.ENGINE_RESTART, Scenario.PARTITION, Scenario.LATE_WAKING, Scenario.KILLED_INSTANCE,
    };

    private ShippedTraces() {}

    /**
     * Parameters from which a shipped trace is generated.
     *
     * @param name file name without extension
     */
    public record TraceSpec(String name, String deployment, List<Scenario> scenarios, long seed) {

        /** Generates the trace. */
        public Trace trace() {
            return TraceGenerator.generate(Deployment.named(deployment), WORKLOAD, scenarios, seed);
        }
    }

    /** Returns all shipped traces. */
    public static List<TraceSpec> all() {
        List<TraceSpec> all = new ArrayList<>();
        for (String d : List.of("driftless", "sialkot")) {
            for (Scenario s : Scenario.values()) {
                all.add(spec(d, s));
            }
            for (Scenario[] pair : PAIRS) {
                all.add(spec(d, pair));
            }
            for (Scenario s : REPEATED) {
                all.add(spec(d, s, s));
            }
        }
        return all;
    }

    private static TraceSpec spec(String deployment, Scenario... scenarios) {
        String name =
                deployment
                        + '-'
                        + Stream.of(scenarios)
                                .map(Scenario::label)
                                .collect(Collectors.joining("+"));
        // The seed is derived from the name, so that adding a scenario changes no other trace.
        return new TraceSpec(name, deployment, List.of(scenarios), name.hashCode() & 0xffff);
    }

    /** Writes all traces and their expectation files to a directory. */
    public static void writeTo(Path directory) throws IOException {
        Files.createDirectories(directory);
        for (TraceSpec e : all()) {
            Trace t = e.trace();
            TraceFormat.write(t, directory.resolve(e.name() + ".trace.gz"));
            ExpectationFile.write(
                    ExpectationGenerator.of(t), directory.resolve(e.name() + ".expect.gz"));
        }
    }

    /** Opens a shipped file; {@code suffix} is {@code trace} or {@code expect}. */
    public static InputStream open(TraceSpec spec, String suffix) throws IOException {
        String path = RESOURCE_DIRECTORY + spec.name() + '.' + suffix + ".gz";
        InputStream in = ShippedTraces.class.getResourceAsStream(path);
        if (in == null) {
            throw new IOException("missing resource " + path);
        }
        return in;
    }
}
