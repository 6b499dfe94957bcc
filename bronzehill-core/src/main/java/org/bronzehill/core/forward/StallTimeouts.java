package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How long an upstream may be silent before a request is sent elsewhere, learned by route. */
final class StallTimeouts {

    /** Shortest time without a sign of an answer before an idempotent request is sent again. */
    private static final Duration MIN_ANSWER_TIMEOUT = Duration.ofMillis(60);

    /** Times the usual latency after which an answer counts as stalled. */
    private static final int LATENCY_MULTIPLE = 5;

    /** Time without an event after which a resumable stream goes on elsewhere. */
    private static final Duration STREAM_EVENT_TIMEOUT = Duration.ofMillis(1200);

    private final Map<String, AverageLatency> latencies = new HashMap<>();

    Duration timeout(Route route, boolean answerBegun) {
        if (route.kind().isStream()) {
            return answerBegun
                    ? STREAM_EVENT_TIMEOUT
                    : Collections.max(
                            List.of(route.target().multipliedBy(2), STREAM_EVENT_TIMEOUT));
        }
        return Collections.max(
                List.of(
                        MIN_ANSWER_TIMEOUT,
                        latency(route).average().multipliedBy(LATENCY_MULTIPLE)));
    }

    /** Notes the time from a sending to the first byte of the answer. */
    void onFirstByte(Route route, long nanos) {
        latency(route).add(nanos);
    }

    private AverageLatency latency(Route route) {
        return latencies.computeIfAbsent(route.name(), n -> new AverageLatency(route.target()));
    }
}
