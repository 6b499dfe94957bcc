package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How long an upstream may be silent before a request is sent elsewhere, learned by route. */
final class StallTimeouts {

    /** Shortest time without a sign of an answer before an idempotent request is sent again. */
    private static final Duration SHORTEST = Duration.ofMillis(60);

    /** Times the usual latency after which an answer counts as stalled. */
    private static final int FACTOR = 5;

    /** Time without an event after which a resumable stream goes on elsewhere. */
    private static final Duration EVENT = Duration.ofMillis(1200);

    private final Map<String, AverageLatency> latencies = new HashMap<>();

    Duration of(Route route, boolean answerBegun) {
        if (route.kind().isStream()) {
            return answerBegun
                    ? EVENT
                    : Collections.max(List.of(route.target().multipliedBy(2), EVENT));
        }
        return Collections.max(List.of(SHORTEST, latency(route).usual().multipliedBy(FACTOR)));
    }

    /** Notes the time from a sending to the first byte of the answer. */
    void onFirstByte(Route route, long nanos) {
        latency(route).add(nanos);
    }

    private AverageLatency latency(Route route) {
        return latencies.computeIfAbsent(route.name(), n -> new AverageLatency(route.target()));
    }
}
