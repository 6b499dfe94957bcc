package org.bronzehill.replay.harness;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.core.node.Input;

/**
 * Configuration service that answers reads and long polls. In mode {@code down} reads fail; in mode
 * {@code stale} they return the configuration that was served last.
 */
final class FakeConfigurationService {

    private static final long ANSWER_NANOS = 3 * VirtualTime.NANOS_PER_MS;
    private static final long FAILURE_NANOS = 50 * VirtualTime.NANOS_PER_MS;

    /** Read that has not been answered yet. */
    private static final class PendingRead {
        private final Consumer<Input> reader;
        private boolean answered;

        private PendingRead(Consumer<Input> reader) {
            this.reader = reader;
        }
    }

    private final VirtualTime time;
    private final EventLog log;
    private final List<PendingRead> longPolls = new ArrayList<>();
    private final Map<Long, Configuration> published = new HashMap<>();
    private ConfigurationImage latest;
    private ConfigurationImage served;
    private String mode = "up";
    private long reads;

    FakeConfigurationService(VirtualTime time, EventLog log, Configuration first) {
        this.time = time;
        this.log = log;
        publish(first);
    }

    long reads() {
        return reads;
    }

    Map<Long, Configuration> published() {
        return published;
    }

    void publish(Configuration next) {
        published.put(next.number(), next);
        latest = ImageCodec.encode(next);
        log.add(new LogEvent.ConfigurationPublished(time.now(), next.number()));
        if (mode.equals("up")) {
            serveLatest();
        }
    }

    private void serveLatest() {
        served = latest;
        List<PendingRead> waiting = List.copyOf(longPolls);
        longPolls.clear();
        waiting.forEach(read -> answer(read, new Input.ConfigurationRead(served), ANSWER_NANOS));
    }

    void setMode(String next) {
        mode = next;
        log.add(new LogEvent.ConfigurationServiceMode(time.now(), next));
        if (next.equals("up")) {
            serveLatest();
        } else if (next.equals("down")) {
            List<PendingRead> waiting = List.copyOf(longPolls);
            longPolls.clear();
            waiting.forEach(read -> answer(read, failure(), FAILURE_NANOS));
        }
    }

    private static Input failure() {
        return new Input.ConfigurationReadFailed("connection refused");
    }

    void read(long knownNumber, Duration maxWait, Consumer<Input> reader) {
        reads++;
        PendingRead read = new PendingRead(reader);
        if (mode.equals("down")) {
            answer(read, failure(), FAILURE_NANOS);
        } else if (served.number() == knownNumber && !maxWait.isZero()) {
            longPolls.add(read);
            time.after(maxWait.toNanos(), () -> expire(read));
        } else {
            answer(read, new Input.ConfigurationRead(served), ANSWER_NANOS);
        }
    }

    private void expire(PendingRead read) {
        if (longPolls.remove(read)) {
            ConfigurationImage same = new ConfigurationImage(served.manifest(), Map.of());
            answer(read, new Input.ConfigurationRead(same), 0);
        }
    }

    private void answer(PendingRead read, Input input, long after) {
        if (!read.answered) {
            read.answered = true;
            time.after(after, () -> read.reader.accept(input));
        }
    }
}
