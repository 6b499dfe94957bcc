package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzehill.core.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * Tells whether this instance is isolated from the upstreams: it can open no connection to any of
 * them, while other instances may. While it is isolated, connections are tried in the background,
 * so that its end is noticed without a request of a caller.
 */
final class Reachability {

    private static final Logger LOG = Logger.getLogger(Reachability.class);

    /** Number of upstreams in a row to which no connection opens before isolation is assumed. */
    private static final int MIN_FAILED_UPSTREAMS = 3;

    /** Time after which a failed connection no longer counts. */
    private static final Duration FAILURE_LIFETIME = Duration.ofSeconds(5);

    /** Interval between connections that are tried while the instance is isolated. */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(300);

    private final TimeSource time;
    private final RandomGenerator random;
    private final OrderTransport transport;
    private final Runnable onChanged;
    private final Set<String> failed = new HashSet<>();
    private long failedAt;
    private int probes;
    private boolean isolated;
    private long isolatedSince;
    private long nextProbeAt;

    /**
     * @param onChanged called when this instance has become isolated, or is no longer
     */
    Reachability(
            TimeSource time, RandomGenerator random, OrderTransport transport, Runnable onChanged) {
        this.time = time;
        this.random = random;
        this.transport = transport;
        this.onChanged = onChanged;
    }

    /**
     * Records that no connection to an upstream could be opened, and finds out whether others can
     * be reached.
     *
     * @param listed all upstreams that are listed
     */
    void onConnectFailed(UpstreamState upstream, Collection<UpstreamState> listed) {
        onFailed(upstream.id(), listed.size());
        if (!isolated && probes == 0) {
            List<UpstreamState> others =
                    new ArrayList<>(listed.stream().filter(u -> !failed.contains(u.id())).toList());
            Collections.shuffle(others, new Random(random.nextLong()));
            others.stream().limit(MIN_FAILED_UPSTREAMS - 1L).forEach(u -> probe(u, listed.size()));
        }
    }

    private void onFailed(String upstream, int listed) {
        long now = time.nanoTime();
        if (now - failedAt > FAILURE_LIFETIME.toNanos()) {
            failed.clear();
        }
        failedAt = now;
        failed.add(upstream);
        if (!isolated && failed.size() >= Math.min(MIN_FAILED_UPSTREAMS, listed)) {
            isolated = true;
            isolatedSince = now;
            nextProbeAt = now;
            LOG.infof("event=isolated failed-upstreams=%d listed=%d", failed.size(), listed);
            onChanged.run();
        }
    }

    private void probe(UpstreamState upstream, int listed) {
        probes++;
        transport.connect(
                upstream.upstreamRecord(),
                opened -> {
                    probes--;
                    if (opened) {
                        onConnected();
                    } else {
                        onFailed(upstream.id(), listed);
                    }
                });
    }

    /** Records that a new connection to an upstream was opened. */
    void onConnected() {
        failed.clear();
        if (isolated) {
            isolated = false;
            LOG.infof(
                    "event=isolation-ended after-ms=%d",
                    (time.nanoTime() - isolatedSince) / 1_000_000);
            onChanged.run();
        }
    }

    boolean isIsolated() {
        return isolated;
    }

    /** Returns the monotonic time at which the isolation was noticed. */
    long isolatedSinceNanos() {
        return isolatedSince;
    }

    /** Returns how long the instance has been isolated; zero if it is not. */
    Duration isolatedFor() {
        return isolated ? Duration.ofNanos(time.nanoTime() - isolatedSince) : Duration.ZERO;
    }

    /** Tries the next connection if one is due. */
    void onTick(Collection<UpstreamState> upstreams) {
        long now = time.nanoTime();
        if (!isolated || now - nextProbeAt < 0) {
            return;
        }
        nextProbeAt = now + PROBE_INTERVAL.toNanos();
        List<UpstreamState> all = List.copyOf(upstreams);
        if (all.isEmpty()) {
            onConnected();
            return;
        }
        probe(all.get(random.nextInt(all.size())), all.size());
    }
}
