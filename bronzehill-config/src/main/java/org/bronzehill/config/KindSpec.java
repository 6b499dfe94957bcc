package org.bronzehill.config;

import java.time.Duration;

/**
 * A kind of request.
 *
 * @param deadline default deadline of a request, and the longest that a caller may set
 * @param onceOnly whether a request of this kind must run at most once
 * @param repeatable whether a failed request may be sent to another upstream
 * @param weight relative cost of one completed request in fair sharing between teams
 * @param service application service that handles this kind; empty for a model request
 * @param silence longest time between two events of an answer before the upstream counts as silent
 */
public record KindSpec(
        String name,
        Urgency urgency,
        Duration deadline,
        boolean onceOnly,
        boolean repeatable,
        double weight,
        String service,
        Duration silence) {

    /** Returns whether an engine, rather than an application service, handles this kind. */
    public boolean isModelRequest() {
        return service.isEmpty();
    }
}
