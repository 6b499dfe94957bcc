package org.bronzehill.config;

import java.time.Duration;

/**
 * A kind of request.
 *
 * @param deadline deadline used when the caller names none, and the longest one a caller may name
 * @param onceOnly whether a request of this kind must run at most once
 * @param repeatable whether a failed request may be sent to another upstream
 * @param weight weight of one completed request in a member's service
 * @param service plain service that handles the kind; empty for a model request
 * @param silence longest allowed gap between two events of an answer
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

    /** Returns whether an engine, rather than a plain service, handles the kind. */
    public boolean isModelRequest() {
        return service.isEmpty();
    }
}
