package org.bronzehill.entry.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;

/** Parses the JSON form of the instance list. */
public final class InstanceListParser {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private InstanceListParser() {}

    /** Parses a list; a left value is the reason of the failure. */
    public static Either<String, InstanceList> parse(byte[] json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            if (!root.path("version").isNumber()) {
                return Either.left("the instance list has no version");
            }
            List<ListedInstance> instances = new ArrayList<>();
            root.path("instances").forEach(i -> instances.add(instance(i)));
            List<Upstream> upstreams = new ArrayList<>();
            root.path("upstreams").forEach(u -> upstreams.add(upstream(u)));
            return Either.right(
                    new InstanceList(root.path("version").asLong(), instances, upstreams));
        } catch (IOException | IllegalArgumentException e) {
            return Either.left("the instance list cannot be parsed: " + e.getMessage());
        }
    }

    private static ListedInstance instance(JsonNode node) {
        return new ListedInstance(
                new InstanceRef(
                        node.path("id").asText(),
                        0,
                        node.path("host").asText(),
                        node.path("port").asInt(),
                        node.path("dataCentre").asText(),
                        node.path("region").asText()),
                state(node));
    }

    private static Upstream upstream(JsonNode node) {
        boolean engine = "engine".equals(node.path("kind").asText());
        Set<String> services = new HashSet<>();
        node.path("services").forEach(s -> services.add(s.asText()));
        return new Upstream(
                node.path("id").asText(),
                engine ? UpstreamKind.ENGINE : UpstreamKind.APPLICATION_RUNNER,
                URI.create(node.path("uri").asText()),
                node.path("dataCentre").asText(),
                node.path("region").asText(),
                state(node),
                engine
                        ? new Upstream.EngineProperties(
                                node.path("baseModel").asText(),
                                node.path("adapterSlots").asInt(),
                                node.path("batchSize").asInt())
                        : Upstream.EngineProperties.NONE,
                node.path("checksFencing").asBoolean(),
                services);
    }

    private static ListedState state(JsonNode node) {
        return ListedState.valueOf(node.path("state").asText("live").toUpperCase(Locale.ROOT));
    }
}
