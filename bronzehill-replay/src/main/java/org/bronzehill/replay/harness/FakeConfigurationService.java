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

/** Configuration service that can be read and watched, and can be down or stale. */
final class FakeConfigurationService {

    private static final long ANSWER_NANOS = 3 * VirtualTime.MS;
    private static final long FAILURE_NANOS = 50 * VirtualTime.MS;

    /** One waiting watch. */
    private static final class Watch {
        private final Consumer<Input> reader;
        private boolean answered;

        private Watch(Consumer<Input> reader) {
            this.reader = reader;
        }
    }

    private final VirtualTime time;
    private final EventLog log;
    private final List<Watch> watches = new ArrayList<>();
    private final Map<Long, Configuration> published = new HashMap<>();
    private ConfigurationImage newest;
    private ConfigurationImage served;
    private String mode = "up";
    private long calls;

    FakeConfigurationService(VirtualTime time, EventLog log, Configuration first) {
        this.time = time;
        this.log = log;
        publish(first);
    }

    long calls() {
        return calls;
    }

    Map<Long, Configuration> published() {
        return published;
    }

    void publish(Configuration next) {
        published.put(next.number(), next);
        newest = ImageCodec.encode(next);
        log.add(new LogEvent.ConfigurationPublished(time.now(), next.number()));
        if (mode.equals("up")) {
            serveNewest();
        }
    }

    private void serveNewest() {
        served = newest;
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(w -> answer(w, new Input.ConfigurationRead(served), ANSWER_NANOS));
    }

    void mode(String next) {
        mode = next;
        log.add(new LogEvent.ConfigurationServiceMode(time.now(), next));
        if (next.equals("up")) {
            serveNewest();
        } else if (next.equals("down")) {
            List<Watch> waiting = List.copyOf(watches);
            watches.clear();
            waiting.forEach(w -> answer(w, failure(), FAILURE_NANOS));
        }
    }

    private static Input failure() {
        return new Input.ConfigurationReadFailed("connection refused");
    }

    void read(long have, Duration maxWait, Consumer<Input> reader) {
        calls++;
        Watch w = new Watch(reader);
        if (mode.equals("down")) {
            answer(w, failure(), FAILURE_NANOS);
        } else if (served.number() == have && !maxWait.isZero()) {
            watches.add(w);
            time.after(maxWait.toNanos(), () -> expire(w));
        } else {
            answer(w, new Input.ConfigurationRead(served), ANSWER_NANOS);
        }
    }

    private void expire(Watch w) {
        if (watches.remove(w)) {
            ConfigurationImage same = new ConfigurationImage(served.manifest(), Map.of());
            answer(w, new Input.ConfigurationRead(same), 0);
        }
    }

    private void answer(Watch w, Input input, long after) {
        if (!w.answered) {
            w.answered = true;
            time.after(after, () -> w.reader.accept(input));
        }
    }
}
