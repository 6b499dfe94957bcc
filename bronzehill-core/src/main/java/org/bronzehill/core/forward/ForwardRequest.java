package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;

/**
 * Properties of a caller's request on which decisions depend.
 *
 * @param id identifier that the caller gave to this request; a caller's retry has another one
 * @param arrivedNanos monotonic time at which its first byte arrived
 * @param callerTimeout how long the caller waits
 * @param adapter model or adapter that answers it; empty for a plain service
 * @param promptTokens size of the prompt; 0 for a plain service
 * @param outputTokens largest number of tokens to generate; 0 for a plain service
 * @param fingerprint hash of path and body that identifies repeated requests
 * @param sharedParts hashes of the parts of the prompt that other requests may have too
 * @param resumed stream that the request continues; empty if it begins anew
 */
public record ForwardRequest(
        String id,
        Route route,
        String service,
        long arrivedNanos,
        Duration callerTimeout,
        Option<AdapterRef> adapter,
        long promptTokens,
        long outputTokens,
        byte[] fingerprint,
        List<Long> sharedParts,
        Option<ResumedStream> resumed) {

    public ForwardRequest {
        sharedParts = List.copyOf(sharedParts);
    }

    /** Returns the request for another of its route's services. */
    ForwardRequest withService(String other) {
        return with(other, resumed);
    }

    /** Returns the request as one that resumes its own stream, which was begun elsewhere. */
    ForwardRequest resumingItself() {
        return with(service, Option.of(new ResumedStream(Option.of(id))));
    }

    private ForwardRequest with(String otherService, Option<ResumedStream> otherResumed) {
        return new ForwardRequest(
                id,
                route,
                otherService,
                arrivedNanos,
                callerTimeout,
                adapter,
                promptTokens,
                outputTokens,
                fingerprint,
                sharedParts,
                otherResumed);
    }

    /**
     * Returns the identifier of the request that began the stream: another one if this request
     * resumes a stream. Empty if the caller does not name it.
     */
    Option<String> firstRequest() {
        return resumed.isEmpty() ? Option.of(id) : resumed.get().firstRequest();
    }

    /** Returns the tokens that the request may occupy in an engine's memory. */
    public long tokens() {
        return promptTokens + outputTokens;
    }

    /** Returns the monotonic time by which the first part of an answer must reach the caller. */
    public long firstEventDeadlineNanos() {
        long byRoute = arrivedNanos + route.eventTimeout().toNanos();
        return route.kind().isStream() ? Math.min(byRoute, deadlineNanos()) : deadlineNanos();
    }

    /**
     * Returns the time in which the next event should reach the caller. A stream that is resumed
     * has begun before, and is late since it broke off, so the caller's patience replaces the
     * route's target.
     */
    Duration target() {
        return resumed.isEmpty() ? route.target() : route.eventTimeout();
    }

    /** Returns the monotonic time at which the target passes. */
    long targetDeadlineNanos() {
        return arrivedNanos + target().toNanos();
    }

    /** Returns the monotonic time at which the caller's or the route's timeout expires. */
    public long deadlineNanos() {
        Duration limit =
                callerTimeout.compareTo(route.timeout()) < 0 ? callerTimeout : route.timeout();
        return arrivedNanos + limit.toNanos();
    }
}
