package org.bronzehill.entry.settings;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.HashMap;
import java.util.Map;

/** Command-line flags of the program. */
@Command(
        name = "bronzehill-entry",
        description =
                "Entry instance of bronzehill. Each flag --some-name can also be set as"
                        + " BRONZEHILL_SOME_NAME; a flag has precedence.")
public final class EntryFlags {

    @AirlineModule private HelpOption<EntryFlags> help;

    @Option(name = "--version", description = "Prints the version")
    private boolean version;

    @Option(
            name = "--id",
            description = "Identifier in the instance list; must stay the same across restarts")
    private String id;

    @Option(name = "--host", description = "IP address of both ports; 127.0.0.1 by default")
    private String host;

    @Option(name = "--http-port", description = "Port for callers and operators; 8080 by default")
    private String httpPort;

    @Option(name = "--peer-port", description = "Port for peers; 7070 by default")
    private String peerPort;

    @Option(name = "--data-centre", description = "Data centre of the instance")
    private String dataCentre;

    @Option(name = "--region", description = "Region of the instance")
    private String region;

    @Option(
            name = {"--configuration-uris", "--configuration-uri"},
            description = "Addresses of the configuration service, separated by commas")
    private String configurationUris;

    @Option(
            name = {"--instance-list-uris", "--instance-list-uri"},
            description = "Addresses of the instance list, separated by commas")
    private String instanceListUris;

    @Option(
            name = "--drain-limit-ms",
            description =
                    "Longest wait for requests in a graceful shutdown, and then again for the"
                            + " delivery of streams; 600000 by default")
    private String drainLimitMs;

    @Option(
            name = "--ring-size",
            description = "Largest number of inputs queued for the core; 16384 by default")
    private String ringSize;

    @Option(
            name = "--peer-queue",
            description = "Largest number of messages queued for one peer; 8192 by default")
    private String peerQueue;

    @Option(
            name = "--open-requests",
            description = "Largest number of answers in progress; 4096 by default")
    private String openRequests;

    @Option(
            name = "--hedge-after-ms",
            description = "Delay before a hedged attempt; 0 for none; 2000 by default")
    private String hedgeAfterMs;

    @Option(name = "--trace-exporter", description = "off, logging or otlp; off by default")
    private String traceExporter;

    @Option(
            name = "--trace-endpoint",
            description = "OTLP endpoint; http://127.0.0.1:4317 by default")
    private String traceEndpoint;

    @Option(
            name = "--default-kind",
            description = "Kind of model requests without the header X-Bronzehill-Kind")
    private String defaultKind;

    @Option(
            name = "--caller-silence-ms",
            description =
                    "Longest time that a caller may go without reading data; 10000 by default")
    private String callerSilenceMs;

    @Option(
            name = "--record-trace",
            description = "File for a trace of the inputs, for 'bronzehill replay'; off by default")
    private String recordTrace;

    @Option(
            name = "--record-deployment",
            description = "Deployment named in the trace: driftless (default) or sialkot")
    private String recordDeployment;

    @Option(name = "--log-level", description = "INFO by default")
    private String logLevel;

    /** Prints the help if it was requested, and returns whether it was. */
    public boolean showHelpIfRequested() {
        return help != null && help.showHelpIfRequested();
    }

    /** Returns whether the version was requested. */
    public boolean version() {
        return version;
    }

    /** Returns the values of the flags by name; null for a flag that was not given. */
    public Map<String, String> values() {
        Map<String, String> values = new HashMap<>();
        values.put("id", id);
        values.put("host", host);
        values.put("http-port", httpPort);
        values.put("peer-port", peerPort);
        values.put("data-centre", dataCentre);
        values.put("region", region);
        values.put("configuration-uris", configurationUris);
        values.put("instance-list-uris", instanceListUris);
        values.put("drain-limit-ms", drainLimitMs);
        values.put("ring-size", ringSize);
        values.put("peer-queue", peerQueue);
        values.put("open-requests", openRequests);
        values.put("hedge-after-ms", hedgeAfterMs);
        values.put("trace-exporter", traceExporter);
        values.put("trace-endpoint", traceEndpoint);
        values.put("default-kind", defaultKind);
        values.put("caller-silence-ms", callerSilenceMs);
        values.put("record-trace", recordTrace);
        values.put("record-deployment", recordDeployment);
        values.put("log-level", logLevel);
        return values;
    }
}
