package org.bronzehill.core.forward;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bronzehill.core.crash.CrashRegistry;
import org.bronzehill.core.crash.CrashingParts;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Detects requests, and parts of their prompts, that crash the upstreams which run them: those
 * whose connection was lost shortly before the upstream was found to be down.
 */
final class CrashDetector {

    /** Largest time from the loss of a connection until the upstream is found to be down. */
    private static final Duration CRASH_WINDOW = Duration.ofSeconds(2);

    private final CrashRegistry registry;
    private final CrashingParts parts;
    private final OrderTransport transport;
    private final TimeSource time;
    private final Effects out;
    private final Map<String, List<LostConnection>> lostConnections = new HashMap<>();
    private final Set<String> awaitedReports = new HashSet<>();

    /**
     * @param unproven parts of the prompt that may have caused the loss: none once the answer had
     *     begun
     */
    private record LostConnection(
            byte[] fingerprint, List<Long> unproven, long sentAt, long crash, long atNanos) {}

    private CrashDetector(
            CrashRegistry registry,
            CrashingParts parts,
            OrderTransport transport,
            TimeSource time,
            Effects out) {
        this.registry = registry;
        this.parts = parts;
        this.transport = transport;
        this.time = time;
        this.out = out;
    }

    /**
     * @param peers ids of the other live instances
     */
    static CrashDetector create(
            String self,
            ForwardPorts ports,
            Supplier<Collection<String>> peers,
            RandomGenerator random) {
        return new CrashDetector(
                CrashRegistry.create(self, peers, ports.time()),
                CrashingParts.create(ports.membership(), ports.time(), random),
                ports.orders(),
                ports.time(),
                ports.out());
    }

    /** Returns whether upstreams crashed several times while they ran the request. */
    boolean shouldRefuse(ForwardRequest request) {
        return registry.refuses(request.fingerprint()) || parts.blocks(request.sharedParts());
    }

    /** Returns whether a request that should be refused may be sent as a trial nevertheless. */
    boolean tryTakeTrial(ForwardRequest request) {
        if (!registry.refuses(request.fingerprint())) {
            return parts.tryTakeTrial(request.sharedParts());
        }
        boolean due =
                registry.isTrialDue(request.fingerprint())
                        && (!parts.blocks(request.sharedParts())
                                || parts.tryTakeTrial(request.sharedParts()));
        if (due) {
            registry.onTrial(request.fingerprint());
        }
        return due;
    }

    /**
     * Records the loss of a request's connection. If a part of the prompt may have crashed the
     * upstream, its report is read to find out at once: no further request might be sent there for
     * some time.
     *
     * @param sentAt monotonic time at which the request was sent
     */
    void onConnectionLost(
            UpstreamState upstream, ForwardRequest request, long sentAt, boolean answerBegun) {
        List<LostConnection> lost =
                lostConnections.computeIfAbsent(upstream.id(), id -> new ArrayList<>());
        long oldest = time.nanoTime() - CRASH_WINDOW.toNanos();
        lost.removeIf(connection -> connection.atNanos() - oldest < 0);
        List<Long> unproven = answerBegun ? List.of() : request.sharedParts();
        long crash = RendezvousHash.nameHash(upstream.incarnationKey());
        lost.add(
                new LostConnection(
                        request.fingerprint(), unproven, sentAt, crash, time.nanoTime()));
        if (parts.maySuspect(unproven, sentAt) && awaitedReports.add(upstream.id())) {
            transport.readReport(upstream.upstreamRecord(), report -> onReport(upstream, report));
        }
    }

    private void onReport(UpstreamState upstream, Option<InventoryReport> report) {
        awaitedReports.remove(upstream.id());
        if (!report.exists(r -> r.isOfIncarnation(upstream.upstreamRecord().startedAtMs()))) {
            onUpstreamDown(upstream);
        }
    }

    /** Records that a successful answer has begun. */
    void onAnswerBegun(ForwardRequest request) {
        parts.onAnswerBegun(request.sharedParts(), out);
    }

    /** Records that a request has run to completion. */
    void onCompleted(ForwardRequest request) {
        registry.recordCompletion(request.fingerprint(), out);
    }

    /**
     * Counts a crash for the requests whose connections to the upstream were lost within {@link
     * #CRASH_WINDOW} before it was found to be down, unless it was about to leave.
     */
    void onUpstreamDown(UpstreamState upstream) {
        List<LostConnection> lost = lostConnections.remove(upstream.id());
        if (lost == null || upstream.isLeaving()) {
            return;
        }
        long oldest = time.nanoTime() - CRASH_WINDOW.toNanos();
        Map<Long, Map<ByteString, Long>> lostRuns = new LinkedHashMap<>();
        lost.stream()
                .filter(connection -> connection.atNanos() - oldest >= 0)
                .forEach(
                        connection -> {
                            lostRuns.computeIfAbsent(connection.crash(), c -> new LinkedHashMap<>())
                                    .put(
                                            ByteString.copyFrom(connection.fingerprint()),
                                            connection.atNanos());
                            parts.onCrash(
                                    connection.crash(),
                                    connection.unproven(),
                                    connection.sentAt(),
                                    out);
                        });
        lostRuns.forEach((crash, runs) -> registry.recordCrash(Long.toHexString(crash), runs, out));
    }

    /** Applies a message of another instance. */
    void onMessage(Envelope envelope) {
        if (envelope.hasPartCrashes()) {
            parts.onMessage(envelope.getFrom(), envelope.getPartCrashes(), out);
        } else {
            registry.onMessage(envelope, out);
        }
    }

    void onTick() {
        registry.onTick(out);
        parts.onTick(out);
    }
}
