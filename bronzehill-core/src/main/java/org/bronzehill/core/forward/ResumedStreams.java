package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Determines where the streams began that callers resume. If no instance knows it, for example
 * after a restart of all instances, a stream may go on only if a single software version can have
 * begun it: no other one has served its service, or the identifier of the request that began it
 * leads to the same version for all upstreams that have been listed since (see {@link
 * VersionChoice}).
 */
final class ResumedStreams {

    /** Interval at which a resumed stream waits for the upstreams and their history to be read. */
    private static final Duration HISTORY_CHECK_INTERVAL = Duration.ofMillis(40);

    /**
     * Longest wait for the upstreams and their history. A caller gives up after 2 s without an
     * event.
     */
    private static final Duration MAX_HISTORY_WAIT = Duration.ofMillis(800);

    /**
     * Number of checks in any case. After the process was held up, the store needs the time of two
     * ticks to answer.
     */
    private static final int MIN_HISTORY_CHECKS = 5;

    /** Time after a caller's deadline for which it may still resume its stream. */
    private static final Duration RESUME_MARGIN = Duration.ofSeconds(2);

    /**
     * Longest time for which a caller waits for its stream, in timeouts of the route. Callers wait
     * for the timeout unless a configuration has shortened it meanwhile. A stream that could be
     * older is not continued at the only version that is known.
     */
    private static final int MAX_WAIT_TIMEOUTS = 2;

    private final StreamOriginExchange exchange;
    private final UpstreamTable upstreams;
    private final ForwardPorts ports;
    private final SharedStoreState storeState;

    ResumedStreams(ForwardPorts ports, UpstreamTable upstreams, SharedStoreState storeState) {
        this.storeState = storeState;
        this.exchange = new StreamOriginExchange(ports);
        this.upstreams = upstreams;
        this.ports = ports;
    }

    StreamOriginExchange exchange() {
        return exchange;
    }

    /** Finds where the stream began that a request resumes, and passes it to the receiver. */
    void find(ForwardRequest request, Consumer<FoundOrigin> receiver) {
        Option<String> first = request.resumed().flatMap(ResumedStream::firstRequest);
        long askedAt = ports.time().nanoTime();
        if (!first.exists(exchange::isKnown)) {
            storeState.requestConfirmation();
        }
        if (first.isEmpty()) {
            findByVersions(request, askedAt, 0, receiver);
        } else {
            exchange.find(
                    first.get(),
                    found -> {
                        if (found.origin().isDefined()) {
                            receiver.accept(found);
                        } else {
                            findByVersions(request, askedAt, 0, receiver);
                        }
                    });
        }
    }

    /**
     * Keeps and reports where the stream of a request began, because its first event here is about
     * to be passed on.
     */
    void onBegun(ForwardRequest request, FoundOrigin found) {
        long age = ports.time().nanoTime() - request.arrivedNanos();
        Duration left = request.callerTimeout().minusNanos(age).plus(RESUME_MARGIN);
        for (String first : request.firstRequest()) {
            found.origin().forEach(o -> exchange.onBegun(first, o, left));
        }
        count(request, ResumeOutcome.CONTINUED, found);
    }

    /** Counts a request if it resumes a stream. */
    void count(ForwardRequest request, ResumeOutcome outcome, FoundOrigin found) {
        if (request.resumed().isDefined()) {
            ports.listener().resumed(outcome, found.source());
        }
    }

    /**
     * @param askedAt monotonic time up to which the upstreams must be known: another instance may
     *     have begun the stream at one that was listed shortly before
     * @param checks number of earlier checks
     */
    private void findByVersions(
            ForwardRequest request, long askedAt, int checks, Consumer<FoundOrigin> receiver) {
        boolean mayWait =
                checks < MIN_HISTORY_CHECKS
                        || ports.time().nanoTime() - askedAt < MAX_HISTORY_WAIT.toNanos();
        boolean historyRead = upstreams.isHistoryRead();
        Option<FoundOrigin> only =
                historyRead || !mayWait
                        ? onlyOrigin(request)
                                .map(o -> FoundOrigin.of(o, OriginSource.ONLY_VERSION, ""))
                                .orElse(() -> originByIdentifier(request))
                        : Option.none();
        boolean current = storeState.isConfirmedUpTo(askedAt);
        // What has not been read yet can only add versions.
        boolean decided = historyRead && (current || only.isEmpty());
        if (mayWait && !decided) {
            ports.scheduler()
                    .after(
                            HISTORY_CHECK_INTERVAL,
                            () -> findByVersions(request, askedAt, checks + 1, receiver));
            return;
        }
        receiver.accept(only.filter(o -> current).getOrElse(FoundOrigin.UNKNOWN));
    }

    /**
     * Returns the origin of a stream that no instance knows: certain if each service that may have
     * begun it has had one version only for as long as a stream can last.
     */
    private Option<StreamOrigin> onlyOrigin(ForwardRequest request) {
        boolean certain =
                request.route().services().stream()
                        .allMatch(s -> onlyVersion(s.service(), request).isDefined());
        return certain
                ? onlyVersion(request.service(), request)
                        .map(v -> new StreamOrigin(request.service(), v))
                : Option.none();
    }

    /**
     * Returns the origin that follows from the identifier of the request that began the stream. If
     * several services may have begun it, nothing follows.
     */
    private Option<FoundOrigin> originByIdentifier(ForwardRequest request) {
        Duration longest = longestWait(request);
        Duration left = request.callerTimeout();
        if (request.route().services().size() != 1
                || request.firstRequest().isEmpty()
                || left.compareTo(longest) > 0) {
            return Option.none();
        }
        long begunAt = request.arrivedNanos() - waited(request).toNanos();
        return upstreams
                .versionSince(request.service(), request.firstRequest().get(), begunAt, longest)
                .map(
                        v ->
                                FoundOrigin.of(
                                        new StreamOrigin(request.service(), v),
                                        OriginSource.IDENTIFIER,
                                        ""));
    }

    /**
     * Returns how long the caller of a stream has waited for it: its timeout is that of the route,
     * or the longest one if it still has more time left.
     */
    private static Duration waited(ForwardRequest request) {
        Duration timeout = request.route().timeout();
        Duration left = request.callerTimeout();
        return left.compareTo(timeout) < 0 ? timeout.minus(left) : longestWait(request).minus(left);
    }

    private static Duration longestWait(ForwardRequest request) {
        return request.route().timeout().multipliedBy(MAX_WAIT_TIMEOUTS);
    }

    /**
     * Returns the version that has served alone for as long as the stream can be old. The history
     * of the store may be shorter than the longest wait of a caller, so the upstreams must only
     * have been observed since a caller that waits for the timeout, or for the longest time if it
     * still has more than the timeout, has begun. A caller that does not name its stream gives no
     * instance the chance to know it, so it is enough that no other version is known.
     */
    private Option<String> onlyVersion(String service, ForwardRequest request) {
        Duration longest = longestWait(request);
        Duration left = request.callerTimeout();
        if (request.firstRequest().isEmpty()) {
            return upstreams.onlyKnownVersion(service, longest);
        }
        if (left.compareTo(longest) > 0) {
            return Option.none();
        }
        return upstreams.onlyVersion(service, longest, waited(request));
    }
}
