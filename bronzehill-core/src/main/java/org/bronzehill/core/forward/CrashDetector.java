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
 * Recognises requests that crash the upstreams which run them: those whose connection broke off
 * shortly before the upstream turned out to be down.
 */
final class CrashDetector {

    /** Time between a break and the sign that the upstream is down. */
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

    /** Returns whether upstreams went down several times while they ran the request. */
    boolean shouldRefuse(ForwardRequest request) {
        return registry.refuses(request.fingerprint());
    }

    /** Notes that the connection of a request broke off. */
    void onConnectionLost(String upstream, ForwardRequest request) {
        List<LostConnection> lost =
                lostConnections.computeIfAbsent(upstream, id -> new ArrayList<>());
        long oldest = time.nanoTime() - CRASH_WINDOW.toNanos();
        lost.removeIf(b -> b.atNanos() - oldest < 0);
        lost.add(new LostConnection(request.fingerprint(), time.nanoTime()));
    }

    /** Notes that a request ran to its end. */
    void onCompleted(ForwardRequest request) {
        registry.recordCompletion(request.fingerprint(), out);
    }

    /** Notes that an upstream is down, and marks the requests that it ran. */
    void onUpstreamDown(String upstream) {
        List<LostConnection> lost = lostConnections.remove(upstream);
        if (lost == null) {
            return;
        }
        long oldest = time.nanoTime() - CRASH_WINDOW.toNanos();
        List<byte[]> suspects = new ArrayList<>();
        lost.stream()
                .filter(b -> b.atNanos() - oldest >= 0)
                .forEach(b -> suspects.add(b.fingerprint()));
        registry.recordCrash(suspects, out);
    }
}
