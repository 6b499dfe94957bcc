package org.bronzehill.entry.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.node.Input;

/** Parses the JSON form of engine reports. */
final class ReportParser {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ReportParser() {}

    static Input parse(String engine, BodyCollector.Response response) {
        if (response.status() != 200) {
            return new Input.EngineReportFailed(engine, "status " + response.status());
        }
        try {
            return new Input.EngineReported(report(engine, MAPPER.readTree(response.body())));
        } catch (IOException e) {
            return new Input.EngineReportFailed(engine, "malformed report: " + e.getMessage());
        }
    }

    /** Reads a report; an absent list is empty, as for an engine that publishes no prefixes. */
    private static EngineReport report(String engine, JsonNode root) {
        List<EngineReport.HandleReport> handles = new ArrayList<>();
        for (JsonNode h : root.path("handles")) {
            handles.add(
                    new EngineReport.HandleReport(
                            h.path("handle").asText(),
                            h.path("loading").asBoolean(),
                            h.path("running").asInt()));
        }
        List<Long> prefixes = new ArrayList<>();
        for (JsonNode p : root.path("prefixes")) {
            prefixes.add(p.asLong());
        }
        return new EngineReport(
                engine,
                root.path("startNumber").asLong(),
                root.path("stampMs").asLong(),
                root.path("highestFencing").asLong(),
                handles,
                root.path("running").asInt(),
                root.path("waiting").asInt(),
                prefixes);
    }
}
