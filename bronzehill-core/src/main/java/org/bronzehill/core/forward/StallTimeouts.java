package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes per route how long an upstream may be silent before a request is sent to another one.
 */
final class StallTimeouts {

    /** Minimum time without an answer before an idempotent request is sent again. */
    private static final Duration MIN_ANSWER_TIMEOUT = Duration.ofMillis(60);

    /** Multiple of the average latency after which an answer counts as stalled. */
    private static final int LATENCY_MULTIPLE = 5;

    /** Minimum time without a first event before a stream is begun by another upstream. */
    private static final Duration MIN_EVENT_TIMEOUT = Duration.ofMillis(1200);

    /**
     * Minimum time without an event before a resumable stream is continued by another upstream.
     * Sound upstreams may be silent for a second or so, and the other one may fail to continue.
     */
    private static final Duration MIN_CONTINUATION_TIMEOUT = Duration.ofMillis(1500);

    /**
     * Time without an event before a resumable stream is continued by another upstream, as part of
     * the time after which callers abandon it. Slow streams with long pauses are thus not cut, and
     * the other upstream has time for an event before the caller gives up.
     */
    private static final double EVENT_TIMEOUT_FRACTION = 0.4;

    private final Map<String, AverageLatency> latencies = new HashMap<>();

    Duration timeout(Route route, boolean answerBegun) {
        if (route.kind().isStream()) {
            long scaled = (long) (route.eventTimeout().toNanos() * EVENT_TIMEOUT_FRACTION);
            Duration events = Duration.ofNanos(scaled);
            return answerBegun
                    ? Collections.max(List.of(MIN_CONTINUATION_TIMEOUT, events))
                    : Collections.max(
                            List.of(route.target().multipliedBy(2), MIN_EVENT_TIMEOUT, events));
        }
        return Collections.max(
                List.of(
                        MIN_ANSWER_TIMEOUT,
                        latency(route).average().multipliedBy(LATENCY_MULTIPLE)));
    }

    /** Records the time from sending a request to the first byte of its answer. */
    void onFirstByte(Route route, long nanos) {
        latency(route).add(nanos);
    }

    private AverageLatency latency(Route route) {
        return latencies.computeIfAbsent(route.name(), n -> new AverageLatency(route.target()));
    }
}
