package org.bronzehill.entry.settings;

import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.bronzehill.entry.http.HttpSettings;
import org.bronzehill.entry.telemetry.Tracing;

/** Validated settings of the program. */
public record ProgramSettings(
        Identity identity,
        Ports ports,
        List<URI> configurationUris,
        List<URI> instanceListUris,
        Duration drainLimit,
        Bounds bounds,
        Duration hedgeAfter,
        SpanExport spanExport,
        HttpSettings http,
        Recording recording,
        String logLevel) {

    /** Largest configurable limit of a queue or table. */
    private static final int MAX_QUEUE = 1 << 20;

    public ProgramSettings {
        configurationUris = List.copyOf(configurationUris);
        instanceListUris = List.copyOf(instanceListUris);
    }

    /** Identity and location of the instance. */
    public record Identity(String id, String dataCentre, String region) {}

    /** Address and ports on which the instance listens. */
    public record Ports(String host, int http, int peer) {}

    /** Limits of the queues and tables outside the core. */
    public record Bounds(int ringSize, int peerQueue, int openRequests) {}

    /** Export of spans. */
    public record SpanExport(Tracing.Exporter exporter, String endpoint) {}

    /**
     * Recording of the core's inputs as a trace.
     *
     * @param file empty for no recording
     * @param deployment deployment that the trace names for the replay tool
     */
    public record Recording(String file, Deployment deployment) {}

    /**
     * Deployments that the replay tool supports. They differ in size, policy, limits, traffic and
     * application services. A trace contains the name of the constant in lower case.
     */
    public enum Deployment {
        DRIFTLESS,
        SIALKOT
    }

    /**
     * Reads the settings from flags, and from environment variables for flags that are not given. A
     * left value lists all errors.
     */
    public static Either<List<String>, ProgramSettings> read(
            Map<String, String> flags, Map<String, String> environment) {
        SettingsReader in = new SettingsReader(flags, environment);
        ProgramSettings settings =
                new ProgramSettings(
                        new Identity(
                                in.requiredName("id"),
                                in.requiredName("data-centre"),
                                in.requiredName("region")),
                        new Ports(
                                in.address("host", "127.0.0.1"),
                                in.number("http-port", 8080, 0, 65_535),
                                in.number("peer-port", 7070, 0, 65_535)),
                        in.uris("configuration-uris"),
                        in.uris("instance-list-uris"),
                        Duration.ofMillis(in.number("drain-limit-ms", 600_000, 0, 86_400_000)),
                        new Bounds(
                                in.number("ring-size", 16_384, 64, MAX_QUEUE),
                                in.number("peer-queue", 8_192, 64, MAX_QUEUE),
                                in.number("open-requests", 4_096, 1, MAX_QUEUE)),
                        Duration.ofMillis(in.number("hedge-after-ms", 2_000, 0, 3_600_000)),
                        new SpanExport(
                                in.choice(
                                        "trace-exporter",
                                        Tracing.Exporter.OFF,
                                        Tracing.Exporter.class),
                                in.text("trace-endpoint", "http://127.0.0.1:4317")),
                        new HttpSettings(
                                in.text("default-kind", ""),
                                Duration.ofMillis(
                                        in.number("caller-silence-ms", 10_000, 1, 3_600_000))),
                        new Recording(
                                in.text("record-trace", ""),
                                in.choice(
                                        "record-deployment",
                                        Deployment.DRIFTLESS,
                                        Deployment.class)),
                        in.level("log-level", "INFO"));
        return in.errors().isEmpty() ? Either.right(settings) : Either.left(in.errors());
    }
}
