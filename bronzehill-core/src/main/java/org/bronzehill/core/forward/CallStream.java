package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Stream that a call begins or continues. It restricts the upstreams of the call: any may answer
 * until the first event was passed on, then those with the software version that began the stream.
 * If that version is unknown, only the same incarnation of the upstream may go on.
 */
final class CallStream {

    private final ResumedStreams streams;
    private FoundOrigin found = FoundOrigin.UNKNOWN;
    private UpstreamState server;
    private final Set<String> ranAt = new HashSet<>();
    private boolean returned;

    CallStream(ResumedStreams streams) {
        this.streams = streams;
    }

    /**
     * Finds out where the stream began that a request resumes.
     *
     * @param receiver receives the service that may continue it; empty if none may
     */
    void resume(ForwardRequest request, Consumer<Option<String>> receiver) {
        streams.find(
                request,
                origin -> {
                    found = origin;
                    receiver.accept(
                            origin.origin()
                                    .filter(StreamOrigin::isVersionKnown)
                                    .map(StreamOrigin::service)
                                    .filter(request.route()::allows));
                });
    }

    /** Restricts the call, and reports the stream, because an upstream's answer has begun. */
    void onAnswerBegun(ForwardRequest request, UpstreamState upstream) {
        if (request.route().kind() == RequestKind.RESUMABLE_STREAM) {
            server = upstream;
            if (!isBound()) {
                found = FoundOrigin.of(StreamOrigin.of(upstream), OriginSource.OWN, "");
            }
            streams.onBegun(request, found);
        }
    }

    /** Counts a request that resumes the stream but has got no event. */
    void onNotContinued(ForwardRequest request, ResumeOutcome outcome) {
        streams.count(request, outcome, found);
    }

    /** Records that an upstream may have run the request. */
    void onRan(UpstreamState upstream) {
        ranAt.add(upstream.incarnationKey());
    }

    /** Returns whether any upstream is known that may have run the request. */
    boolean hasRunAtKnownUpstream() {
        return !ranAt.isEmpty();
    }

    /** Returns whether the call has been restricted to upstreams that may have run the request. */
    boolean hasReturned() {
        return returned;
    }

    /**
     * Restricts the call to upstreams that may have run the request, because it may be sent to no
     * others.
     */
    void returnToEarlier() {
        returned = true;
    }

    /** Returns whether only upstreams of the software version that began the stream may answer. */
    boolean isBound() {
        return found.origin().isDefined();
    }

    /** Returns where the stream began, and how that is known. */
    FoundOrigin found() {
        return found;
    }

    /**
     * Returns whether an upstream may answer the call.
     *
     * @param trusted whether the version that its record states is relied on
     */
    boolean allows(UpstreamState upstream, boolean trusted) {
        boolean withinLimit = !returned || ranAt.contains(upstream.incarnationKey());
        boolean fits =
                !isBound()
                        || trusted
                                && (found.origin().get().fits(upstream.upstreamRecord())
                                        || upstream == server);
        return withinLimit && fits;
    }
}
