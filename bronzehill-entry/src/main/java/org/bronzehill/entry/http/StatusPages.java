package org.bronzehill.entry.http;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.bronzehill.core.node.CoreStatus;
import org.bronzehill.entry.runtime.CoreThread;

/** Contents of the operators' pages for status and explanation of routing; also starts a drain. */
public final class StatusPages {

    private final ObjectMapper mapper = new ObjectMapper().registerModule(durationModule());
    private final CoreThread core;
    private final Map<String, IntSupplier> queues;
    private final Runnable drain;

    private StatusPages(CoreThread core, Map<String, IntSupplier> queues, Runnable drain) {
        this.core = core;
        this.queues = Map.copyOf(queues);
        this.drain = drain;
    }

    /**
     * Creates the pages.
     *
     * @param queues sizes of the queues and tables outside the core, by name on the status page
     * @param drain starts a graceful shutdown
     */
    public static StatusPages create(
            CoreThread core, Map<String, IntSupplier> queues, Runnable drain) {
        return new StatusPages(core, queues, drain);
    }

    CompletableFuture<Map<?, ?>> status() {
        return core.query(c -> c.status()).thenApply(this::toJson);
    }

    private Map<?, ?> toJson(CoreStatus status) {
        ObjectNode node = mapper.valueToTree(status);
        ObjectNode lengths = node.putObject("queues");
        queues.forEach((name, length) -> lengths.put(name, length.getAsInt()));
        return mapper.convertValue(node, Map.class);
    }

    CompletableFuture<Map<?, ?>> explain(String adapter, String kind, long prefixHash) {
        return core.query(
                c ->
                        mapper.convertValue(
                                Map.of(
                                        "adapter",
                                        adapter,
                                        "kind",
                                        kind,
                                        "configuration",
                                        c.configuration().number(),
                                        "version",
                                        c.configuration()
                                                .adapter(adapter)
                                                .map(a -> a.versionFor(kind))
                                                .getOrElse(0),
                                        "candidates",
                                        c.explain(adapter, kind, prefixHash)),
                                Map.class));
    }

    void drain() {
        drain.run();
    }

    /** Returns a module that writes durations as numbers of milliseconds. */
    private static SimpleModule durationModule() {
        SimpleModule module = new SimpleModule("durations");
        module.addSerializer(Duration.class, new MillisSerializer());
        return module;
    }

    private static final class MillisSerializer extends StdSerializer<Duration> {
        private static final long serialVersionUID = 1L;

        MillisSerializer() {
            super(Duration.class);
        }

        @Override
        public void serialize(Duration value, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeNumber(value.toMillis());
        }
    }
}
