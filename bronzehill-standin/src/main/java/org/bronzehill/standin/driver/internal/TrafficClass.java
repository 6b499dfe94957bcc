package org.bronzehill.standin.driver.internal;

import java.time.Duration;
import org.bronzehill.config.KindSpec;
import org.bronzehill.config.Urgency;

/**
 * Kind of request with its share of the generated load.
 *
 * @param operation operation of the plain service; empty for a model request
 * @param share fraction of all requests
 * @param tokens mean length of the answer; 0 for a plain service
 * @param callerDeadline deadline that callers send; shorter than the declared deadline of the slow
 *     kinds, which exceeds the length of a run
 */
public record TrafficClass(
        KindSpec kind, String operation, double share, int tokens, Duration callerDeadline) {

    private static final Duration MAX_SILENCE = Duration.ofSeconds(5);

    static TrafficClass model(
            String name,
            Urgency urgency,
            Duration deadline,
            double weight,
            double share,
            int tokens,
            Duration callerDeadline) {
        KindSpec kind = new KindSpec(name, urgency, deadline, false, true, weight, "", MAX_SILENCE);
        return new TrafficClass(kind, "", share, tokens, callerDeadline);
    }

    static TrafficClass lookup(String name, String service, String operation, double share) {
        Duration deadline = Duration.ofSeconds(3);
        KindSpec kind =
                new KindSpec(
                        name, Urgency.INTERACTIVE, deadline, false, true, 1, service, MAX_SILENCE);
        return new TrafficClass(kind, operation, share, 0, deadline);
    }

    static TrafficClass act(String name, String service, String operation, double share) {
        Duration deadline = Duration.ofSeconds(10);
        KindSpec kind =
                new KindSpec(name, Urgency.PROMPT, deadline, true, false, 2, service, MAX_SILENCE);
        return new TrafficClass(kind, operation, share, 0, deadline);
    }

    /** Returns the name of the kind. */
    public String name() {
        return kind.name();
    }
}
