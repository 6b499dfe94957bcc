package org.bronzehill.entry.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bronzehill.core.model.CacheEvents;
import org.bronzehill.core.node.Input;

/** Parses the JSON form of cache events, the changes of an engine's prompt-prefix cache. */
final class CacheEventParser {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CacheEventParser() {}

    /**
     * Returns the input for the core; empty if the engine publishes no cache events or the response
     * is malformed.
     */
    static Optional<Input> parse(String engine, long after, BodyCollector.Response response) {
        if (response.status() != 200) {
            return Optional.empty();
        }
        try {
            List<CacheEvents.Event> events = new ArrayList<>();
            for (JsonNode e : MAPPER.readTree(response.body()).path("events")) {
                events.add(
                        new CacheEvents.Event(
                                e.path("sequence").asLong(),
                                hashes(e.path("stored")),
                                hashes(e.path("removed"))));
            }
            return Optional.of(new Input.CacheEventsRead(new CacheEvents(engine, after, events)));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static List<Long> hashes(JsonNode list) {
        List<Long> hashes = new ArrayList<>();
        list.forEach(h -> hashes.add(h.asLong()));
        return hashes;
    }
}
