package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Paths between one instance and the upstreams, on virtual time. */
final class UpstreamPaths {

    private static final Duration ROUND_TRIP = Duration.ofMillis(1);

    private final Scheduler scheduler;
    private final Map<String, Path> single = new HashMap<>();
    private final List<Runnable> paused = new ArrayList<>();
    private Path common = Path.OPEN;
    private int probes;

    /** What happens to new connections, and to requests on them. */
    enum Path {
        OPEN,

        /** No connection opens. */
        REFUSED,

        /** A middlebox accepts connections and resets them at the first bytes. */
        RESET,

        /** A middlebox accepts connections, on which nothing ever passes. */
        SILENT,

        /** The upstreams are silent, and go on with what they got when they are open again. */
        PAUSED
    }

    UpstreamPaths(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Sets the paths to all upstreams. */
    void set(Path path) {
        common = path;
        single.clear();
        if (path == Path.OPEN) {
            List.copyOf(paused).forEach(Runnable::run);
            paused.clear();
        }
    }

    /** Sets the path to one upstream. */
    void set(String upstream, Path path) {
        single.put(upstream, path);
    }

    Path to(String upstream) {
        return single.getOrDefault(upstream, common);
    }

    /** Runs a task when the upstreams go on. */
    void onOpen(Runnable task) {
        paused.add(task);
    }

    /** Returns the number of probes of the instance. */
    int probes() {
        return probes;
    }

    /** Carries out {@link OrderTransport#probe}. */
    void probe(UpstreamRecord upstream, Duration timeLimit, Consumer<ProbeResult> reply) {
        probes++;
        boolean[] done = new boolean[1];
        Consumer<ProbeResult> once =
                result -> {
                    if (!done[0]) {
                        done[0] = true;
                        reply.accept(result);
                    }
                };
        scheduler.after(timeLimit, () -> once.accept(ProbeResult.UNANSWERED));
        switch (to(upstream.id())) {
            case OPEN -> scheduler.after(ROUND_TRIP, () -> once.accept(ProbeResult.ANSWERED));
            case REFUSED -> scheduler.after(ROUND_TRIP, () -> once.accept(ProbeResult.NOT_OPENED));
            case RESET -> scheduler.after(ROUND_TRIP, () -> once.accept(ProbeResult.UNANSWERED));
            case PAUSED -> onOpen(() -> once.accept(ProbeResult.ANSWERED));
            default -> {
                // Nothing passes until the time limit.
            }
        }
    }
}
