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
 * them, or gets no answer on those that open, while other instances may. Only an answer proves that
 * an upstream is reached, since a middlebox may accept connections on its behalf.
 *
 * <p>A lost or silent request only raises the suspicion, since the request may be what the upstream
 * fails at. Probes then decide. They go on while the instance is isolated, so that its end is
 * noticed without a request of a caller.
 */
final class Reachability {

    private static final Logger LOG = Logger.getLogger(Reachability.class);

    /** Number of upstreams in a row that are not reached before isolation is assumed. */
    private static final int MIN_FAILED_UPSTREAMS = 3;

    /** Time after which a failure no longer counts. */
    private static final Duration FAILURE_LIFETIME = Duration.ofSeconds(5);

    /** Interval between probes while the instance is isolated, or may be. */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(300);

    /** Time without any answer to requests after which this instance may be isolated. */
    private static final Duration SUSPICIOUS_SILENCE = Duration.ofMillis(700);

    /**
     * Minimum time without any answer, from the first probe that failed, before isolation is
     * assumed although connections open. Upstreams at their limit of connections reset new ones and
     * answer on others.
     */
    private static final Duration MIN_SILENCE = Duration.ofMillis(500);

    /**
     * Time limit of a probe while the instance may be isolated. Together with the time before it
     * begins, it exceeds the second or so for which sound upstreams may be silent.
     */
    private static final Duration PROBE_LIMIT = Duration.ofSeconds(1);

    /** Time limit of a probe while the instance is isolated; a late answer ends the state too. */
    private static final Duration ISOLATED_PROBE_LIMIT = Duration.ofSeconds(2);

    private final TimeSource time;
    private final RandomGenerator random;
    private final OrderTransport transport;
    private final Runnable onChanged;

    /** Upstreams to which no connection opened since a new connection has worked. */
    private final Set<String> unopened = new HashSet<>();

    /** Upstreams that were not reached, for whatever reason, since any answer. */
    private final Set<String> unanswered = new HashSet<>();

    /** Upstreams to which a probe is under way. */
    private final List<String> probed = new ArrayList<>();

    private long failedAt;
    private long unopenedAt;
    private long unansweredSince;
    private long answeredAt;

    /** Whether a request was sent after the last answer. */
    private boolean awaiting;

    private long awaitingSince;
    private boolean suspected;
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
        this.answeredAt = time.nanoTime();
        this.nextProbeAt = answeredAt;
    }

    /**
     * Records that no connection to an upstream could be opened, and finds out whether others can
     * be reached.
     *
     * @param listed all upstreams that are listed
     */
    void onConnectFailed(UpstreamState upstream, Collection<UpstreamState> listed) {
        onUnopened(upstream.id(), listed);
        if (!isolated) {
            List<UpstreamState> others = new ArrayList<>(unprobed(listed));
            Collections.shuffle(others, new Random(random.nextLong()));
            others.stream()
                    .limit(Math.max(0, MIN_FAILED_UPSTREAMS - 1 - probed.size()))
                    .forEach(u -> probe(u, listed));
        }
    }

    /**
     * Records that a new connection was opened: not all upstreams refuse connections. Behind a
     * middlebox this proves nothing, so it does not end an isolation.
     */
    void onOpened() {
        if (!isolated) {
            unopened.clear();
        }
    }

    /** Records that a request was sent to an upstream. */
    void onSent() {
        if (!awaiting) {
            awaiting = true;
            awaitingSince = time.nanoTime();
        }
    }

    /**
     * Records that the connection of a request was lost.
     *
     * @param newConnection whether the connection had carried no other request; others may be lost
     *     because the upstream has closed them while they were idle
     * @param sentAt monotonic time at which the request was sent
     */
    void onLost(boolean newConnection, long sentAt) {
        if (newConnection && sentAt - answeredAt >= 0) {
            suspect();
        }
    }

    /**
     * Records that an upstream has answered a request, or has continued its answer.
     *
     * @param newConnection whether the connection had carried no other request
     * @param sentAt monotonic time at which the request was sent
     */
    void onAnswer(boolean newConnection, long sentAt) {
        answeredAt = time.nanoTime();
        awaiting = false;
        suspected = false;
        unanswered.clear();
        // Open connections may live on while no new ones open.
        if (newConnection && sentAt - unopenedAt > 0) {
            unopened.clear();
        }
        if (isolated && unopened.isEmpty()) {
            endIsolation();
        }
    }

    private void suspect() {
        if (!suspected) {
            suspected = true;
            failedAt = time.nanoTime();
        }
    }

    private void onUnopened(String upstream, Collection<UpstreamState> listed) {
        onUnanswered(upstream);
        unopenedAt = time.nanoTime();
        unopened.add(upstream);
        if (!isolated && unopened.size() >= Math.min(MIN_FAILED_UPSTREAMS, listed.size())) {
            isolate(listed);
        }
    }

    private void onUnanswered(String upstream) {
        forgetIfOld();
        failedAt = time.nanoTime();
        if (unanswered.isEmpty()) {
            unansweredSince = failedAt;
        }
        unanswered.add(upstream);
        suspected = true;
    }

    private void forgetIfOld() {
        if (!isolated && time.nanoTime() - failedAt > FAILURE_LIFETIME.toNanos()) {
            unopened.clear();
            unanswered.clear();
            suspected = false;
        }
    }

    /**
     * Assumes isolation if connections open, but nothing is answered. Crashes or resets of one or
     * two upstreams look the same, so this takes three also if fewer are listed.
     */
    private void isolateIfUnanswered(Collection<UpstreamState> listed) {
        if (!isolated
                && unanswered.size() >= MIN_FAILED_UPSTREAMS
                && time.nanoTime() - unansweredSince >= MIN_SILENCE.toNanos()) {
            // Any answer refutes this, also one on a connection that was open before.
            unopened.clear();
            isolate(listed);
        }
    }

    private void isolate(Collection<UpstreamState> listed) {
        isolated = true;
        isolatedSince = time.nanoTime();
        nextProbeAt = isolatedSince;
        LOG.infof(
                "event=isolated failed-upstreams=%d unopened=%d listed=%d",
                Math.max(unanswered.size(), unopened.size()), unopened.size(), listed.size());
        onChanged.run();
    }

    private void endIsolation() {
        isolated = false;
        LOG.infof(
                "event=isolation-ended after-ms=%d", (time.nanoTime() - isolatedSince) / 1_000_000);
        onChanged.run();
    }

    private void probe(UpstreamState upstream, Collection<UpstreamState> listed) {
        long begunAt = time.nanoTime();
        nextProbeAt = begunAt + PROBE_INTERVAL.toNanos();
        probed.add(upstream.id());
        transport.probe(
                upstream.upstreamRecord(),
                isolated ? ISOLATED_PROBE_LIMIT : PROBE_LIMIT,
                result -> {
                    probed.remove(upstream.id());
                    onProbed(upstream.id(), listed, result, begunAt);
                });
    }

    private void onProbed(
            String upstream, Collection<UpstreamState> listed, ProbeResult result, long begunAt) {
        if (result == ProbeResult.ANSWERED) {
            unopened.clear();
            onAnswer(true, begunAt);
        } else if (result == ProbeResult.NOT_OPENED) {
            onUnopened(upstream, listed);
        } else if (begunAt - answeredAt >= 0) {
            // No other upstream has answered meanwhile.
            onUnanswered(upstream);
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

    /**
     * Returns the listed upstreams that are not known to fail and to which no probe is under way.
     */
    private List<UpstreamState> unprobed(Collection<UpstreamState> listed) {
        return listed.stream()
                .filter(u -> !unanswered.contains(u.id()) && !probed.contains(u.id()))
                .toList();
    }

    /** Sends the next probe if one is due. */
    void onTick(Collection<UpstreamState> listed) {
        long now = time.nanoTime();
        forgetIfOld();
        if (awaiting && now - awaitingSince >= SUSPICIOUS_SILENCE.toNanos()) {
            suspect();
        }
        if (listed.isEmpty()) {
            unopened.clear();
            unanswered.clear();
            suspected = false;
            if (isolated) {
                endIsolation();
            }
        }
        isolateIfUnanswered(listed);
        boolean due = (isolated || suspected) && now - nextProbeAt >= 0;
        List<UpstreamState> candidates =
                !due ? List.of() : isolated ? List.copyOf(listed) : unprobed(listed);
        if (!candidates.isEmpty()) {
            probe(candidates.get(random.nextInt(candidates.size())), List.copyOf(listed));
        }
    }
}
