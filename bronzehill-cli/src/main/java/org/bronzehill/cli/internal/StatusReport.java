package org.bronzehill.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Formats the status document of an instance for the terminal. */
public final class StatusReport {

    private StatusReport() {}

    /** Returns the lines of the report. */
    public static List<String> lines(JsonNode status) {
        List<String> lines = new ArrayList<>();
        JsonNode configuration = status.path("configuration");
        lines.add(
                "instance "
                        + text(status, "instance")
                        + "  incarnation "
                        + text(status, "incarnation")
                        + "  "
                        + text(status, "phase")
                        + ' '
                        + text(status, "reason"));
        lines.add(
                "configuration "
                        + text(configuration, "number")
                        + "  age "
                        + text(configuration, "age")
                        + "  adapters "
                        + text(configuration, "adapters")
                        + "  older images ignored "
                        + text(configuration, "staleReads"));
        lines.add("limits " + fields(configuration.path("limits")));
        lines.add("counts " + fields(status.path("counts")));
        lines.add("");
        lines.addAll(peers(status.path("peers")));
        lines.add("");
        lines.addAll(upstreams(status.path("upstreams")));
        return lines;
    }

    private static List<String> peers(JsonNode peers) {
        TextTable table = TextTable.of("PEER", "STATUS", "DATA CENTRE", "ADDRESS", "INCARNATION");
        for (JsonNode p : peers) {
            table.row(
                    text(p, "id"),
                    text(p, "status"),
                    text(p, "dataCentre"),
                    text(p, "address"),
                    text(p, "incarnation"));
        }
        return table.lines();
    }

    private static List<String> upstreams(JsonNode upstreams) {
        TextTable table =
                TextTable.of(
                        "UPSTREAM",
                        "KIND",
                        "STATE",
                        "HOLDER",
                        "FENCING",
                        "RUNNING",
                        "QUEUED",
                        "RESIDENT",
                        "LOADING");
        for (JsonNode u : upstreams) {
            List<String> resident = new ArrayList<>();
            List<String> loading = new ArrayList<>();
            for (JsonNode a : u.path("adapters")) {
                String name = text(a, "adapter") + '@' + text(a, "version");
                (a.path("loading").asBoolean() ? loading : resident).add(name);
            }
            table.row(
                    text(u, "id"),
                    text(u, "kind"),
                    text(u, "state"),
                    text(u, "holder"),
                    text(u, "fencing"),
                    text(u, "running"),
                    text(u, "queued"),
                    abbreviate(resident),
                    abbreviate(loading));
        }
        return table.lines();
    }

    private static String abbreviate(List<String> names) {
        int limit = 3;
        if (names.size() <= limit) {
            return names.isEmpty() ? "-" : String.join(",", names);
        }
        return String.join(",", names.subList(0, limit)) + " +" + (names.size() - limit);
    }

    private static String fields(JsonNode object) {
        List<String> fields = new ArrayList<>();
        object.fields().forEachRemaining(e -> fields.add(e.getKey() + '=' + e.getValue().asText()));
        return String.join("  ", fields);
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isMissingNode() || value.isNull() || value.asText().isEmpty()
                ? "-"
                : value.asText();
    }
}
