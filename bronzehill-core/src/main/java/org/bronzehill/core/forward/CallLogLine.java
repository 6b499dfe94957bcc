package org.bronzehill.core.forward;

import io.vavr.control.Option;

/** Builds the log line of a decision on a call. Fields appear in the order of the calls. */
final class CallLogLine {

    private final ForwardRequest request;
    private final StringBuilder line = new StringBuilder(160);

    private CallLogLine(ForwardRequest request) {
        this.request = request;
    }

    /** Begins a line; an empty reason is left out. */
    static CallLogLine of(ForwardRequest request, String decision, String reason) {
        CallLogLine begun = new CallLogLine(request);
        begun.line.append("request=").append(request.id()).append(" decision=").append(decision);
        begun.line.append(reason.isEmpty() ? "" : " reason=" + reason);
        begun.line.append(" route=").append(request.route().name());
        return begun;
    }

    CallLogLine withAge(long now) {
        return append("age-ms", (now - request.arrivedNanos()) / 1_000_000);
    }

    CallLogLine withAttempts(AttemptCounts attempts) {
        append("attempt", attempts.mayHaveRun());
        return append("turned-away", attempts.notRun());
    }

    /** Adds the instance that has relayed the request to this one. */
    CallLogLine withRelayedBy(Option<String> instance) {
        instance.forEach(i -> line.append(" relayed-by=").append(i));
        return this;
    }

    /**
     * Adds the instance that has the request, and the upstream whose answer it passes on.
     *
     * @param relayed whether another instance has the request
     */
    CallLogLine withRelayedTo(RelayTries tries, boolean relayed) {
        if (relayed) {
            line.append(" relayed-to=").append(tries.current());
            line.append(tries.upstream().isEmpty() ? "" : " relayed-upstream=" + tries.upstream());
        }
        return this;
    }

    /** Adds the adapter and the upstream; {@code own} counts this instance's requests there. */
    CallLogLine withUpstream(UpstreamState upstream) {
        request.adapter().forEach(a -> line.append(" adapter=").append(a.key()));
        if (upstream != null) {
            line.append(" upstream=").append(upstream.id());
            line.append(" software-version=").append(upstream.upstreamRecord().softwareVersion());
            append("upstream-requests", upstream.totalRequests());
            append("own", upstream.ownRequests());
            append("failing", Math.round(upstream.health().failureRate() * 100));
            append("record-ms", upstream.recordAgeMillis());
        }
        return this;
    }

    /** Adds the stream that the caller resumes, and where it began. */
    CallLogLine withStream(FoundOrigin found) {
        request.resumed()
                .forEach(
                        r -> {
                            line.append(" resumes=").append(r.firstRequest().getOrElse("unnamed"));
                            found.origin().forEach(o -> line.append(" origin=").append(o));
                            line.append(" origin-from=").append(found);
                        });
        return this;
    }

    /**
     * Adds what the other instances can do for a call of an isolated instance.
     *
     * @param others empty if this instance is not isolated
     * @param tried number of instances to which the call has been relayed
     */
    CallLogLine withOtherInstances(Option<RelayPeerCounts> others, int tried) {
        for (RelayPeerCounts o : others) {
            append("others-serving", o.serving());
            append("others-isolated", o.isolated());
            append("others-stopping", o.stopping());
            append("others-excluded", o.excluded());
            append("others-suspected", o.suspected());
            append("tried", tried);
        }
        return this;
    }

    /** Adds the times of an answer that has begun, and the earlier use of the connection. */
    CallLogLine withAnswer(AnswerProgress answer) {
        if (answer.hasBegun()) {
            append("first-ms", (answer.firstByteAt() - request.arrivedNanos()) / 1_000_000);
            append("longest-gap-ms", answer.longestGapNanos() / 1_000_000);
        }
        if (answer.isConnected()) {
            append("earlier-requests", answer.earlierRequests());
        }
        return this;
    }

    CallLogLine withConfiguration(long version) {
        return append("configuration", version);
    }

    /** Adds the time since the contents of the store that are known here were current. */
    CallLogLine withStoreAge(long millis) {
        return append("store-ms", millis);
    }

    private CallLogLine append(String name, long value) {
        line.append(' ').append(name).append('=').append(value);
        return this;
    }

    @Override
    public String toString() {
        return line.toString();
    }
}
