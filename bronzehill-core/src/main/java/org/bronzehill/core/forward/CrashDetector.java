package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.crash.CrashRegistry;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;

/**
 * Detects requests that crash the upstreams which run them: those whose connection was lost shortly
 * before the upstream was found to be down.
 */
final class CrashDetector {

    /** Largest time from the loss of a connection until the upstream is found to be down. */
    private static final Duration CRASH_WINDOW = Duration.ofSeconds(2);

    private final CrashRegistry registry;
    private final TimeSource time;
    private final Effects out;
    private final Map<String, List<LostConnection>> lostConnections = new HashMap<>();

    private record LostConnection(byte[] fingerprint, long atNanos) {}

    CrashDetector(CrashRegistry registry, TimeSource time, Effects out) {
        this.registry = registry;
        this.time = time;
        this.out = out;
    }

    /** Returns whether upstreams crashed several times while they ran the request. */
    boolean shouldRefuse(ForwardRequest request) {
        return registry.refuses(request.fingerprint());
    }

    /** Records the loss of a request's connection. */
    void onConnectionLost(String upstream, ForwardRequest request) {
        List<LostConnection> lost =
                lostConnections.computeIfAbsent(upstream, id -> new ArrayList<>());
        long oldest = time.nanoTime() - CRASH_WINDOW.toNanos();
        lost.removeIf(connection -> connection.atNanos() - oldest < 0);
        lost.add(new LostConnection(request.fingerprint(), time.nanoTime()));
    }

    /** Records that a request has run to completion. */
    void onCompleted(ForwardRequest request) {
        registry.recordCompletion(request.fingerprint(), out);
    }

    /**
     * Counts a crash for the requests whose connections to the upstream were lost within {@link
     * #CRASH_WINDOW} before it was found to be down.
     */
    void onUpstreamDown(String upstream) {
        List<LostConnection> lost = lostConnections.remove(upstream);
        if (lost == null) {
            return;
        }
        long oldest = time.nanoTime() - CRASH_WINDOW.toNanos();
        List<byte[]> suspects = new ArrayList<>();
        lost.stream()
                .filter(connection -> connection.atNanos() - oldest >= 0)
                .forEach(connection -> suspects.add(connection.fingerprint()));
        registry.recordCrash(suspects, out);
    }
}
