package org.bronzehill.standin.internal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.ImageDirectory;
import org.bronzehill.config.Manifest;

/**
 * Simulates the configuration service: serves the manifest and shards of a declaration directory
 * and supports long polling. {@code POST /standin/publish} with {@code {"directory"}} publishes
 * another directory.
 */
public final class ConfigurationService extends StandinService {

    private record LongPoll(Exchange exchange, long knownNumber) {}

    private final Map<String, byte[]> shards = new HashMap<>();
    private final List<LongPoll> longPolls = new ArrayList<>();
    private Manifest current = new Manifest(0, "", List.of());
    private Manifest previous = current;

    private ConfigurationService(String id) {
        super("configuration", id);
    }

    /** Creates a service without a configuration. */
    public static ConfigurationService create(String id) {
        return new ConfigurationService(id);
    }

    /** Publishes a declaration directory, even if its number is not higher than the current one. */
    public void publish(Path directory) throws IOException {
        publish(ImageDirectory.read(directory));
    }

    /** Publishes an image, even if its number is not higher than the current one. */
    public synchronized void publish(ConfigurationImage image) {
        shards.putAll(image.shards());
        previous = current.number() == 0 ? image.manifest() : current;
        current = image.manifest();
        List<LongPoll> due =
                longPolls.stream().filter(p -> current.number() > p.knownNumber()).toList();
        longPolls.removeAll(due);
        due.forEach(p -> answer(p.exchange()));
    }

    @Override
    protected void handle(Exchange exchange) {
        if (exchange.matches("GET", "/v1/manifest")) {
            ledger.count("calls", "manifest");
            manifest(exchange);
        } else if (exchange.method().equals("GET") && exchange.path().startsWith("/v1/shards/")) {
            ledger.count("calls", "shard");
            shard(exchange);
        } else {
            exchange.error(404, "unknown_path");
        }
    }

    private synchronized void manifest(Exchange exchange) {
        long knownNumber = exchange.query("have", 0);
        long waitMs = exchange.query("wait_ms", 0);
        if (served().number() > knownNumber || waitMs <= 0) {
            answer(exchange, knownNumber);
            return;
        }
        LongPoll longPoll = new LongPoll(exchange, knownNumber);
        longPolls.add(longPoll);
        ledger.recordMax("calls", "mostWatches", longPolls.size());
        exchange.onClosed(() -> removeLongPoll(longPoll));
        timer.after(waitMs, () -> endLongPoll(longPoll));
    }

    private synchronized void removeLongPoll(LongPoll longPoll) {
        longPolls.remove(longPoll);
    }

    private synchronized void endLongPoll(LongPoll longPoll) {
        if (longPolls.remove(longPoll)) {
            answer(longPoll.exchange(), longPoll.knownNumber());
        }
    }

    /**
     * Answers 304 if the client already has the served number, and otherwise with the served
     * manifest, even if its number is older.
     */
    private void answer(Exchange exchange, long knownNumber) {
        if (served().number() == knownNumber) {
            exchange.respond(304, "application/json", new byte[0]);
        } else {
            answer(exchange);
        }
    }

    private void answer(Exchange exchange) {
        exchange.respond(200, "application/json", ImageCodec.encodeManifest(served()));
    }

    private Manifest served() {
        return faults.isOn("stale") ? previous : current;
    }

    private synchronized void shard(Exchange exchange) {
        byte[] content = shards.get(exchange.path().substring("/v1/shards/".length()));
        if (content == null) {
            exchange.error(404, "unknown_shard");
        } else {
            exchange.respond(200, "application/json", content);
        }
    }

    @Override
    protected boolean handleRoleControl(Exchange exchange) {
        if (!exchange.matches("POST", "/standin/publish")) {
            return false;
        }
        try {
            publish(Path.of(exchange.json().path("directory").asText()));
            exchange.respond(200, Map.of("number", number()));
        } catch (IOException e) {
            exchange.respond(400, Map.of("errors", List.of("cannot publish: " + e.getMessage())));
        }
        return true;
    }

    /** Returns the number of the published configuration. */
    public synchronized long number() {
        return current.number();
    }

    @Override
    protected synchronized void describe(Map<String, Object> view) {
        view.put("number", current.number());
        view.put("watches", longPolls.size());
    }
}
