package org.bronzehill.core.spread;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.Signal;
import org.bronzehill.core.time.TimeSource;

/** Decides when this instance calls the configuration service, and allows one call at a time. */
final class ServiceReader {

    /** Two watchers in each data centre, so that one may fail without a delay. */
    private static final int WATCHERS = 2;

    private static final Duration WATCH = Duration.ofSeconds(30);
    private static final long ANSWER_NANOS = 5_000_000_000L;
    private static final long POLL_NANOS = 5_000_000_000L;
    private static final long JITTER_NANOS = 1_000_000_000L;
    private static final long RETRY_NANOS = 1_000_000_000L;
    private static final long MAX_RETRY_NANOS = 8_000_000_000L;

    /** Bounds the calls to a service that does not hold a watch open. */
    private static final long WATCH_PAUSE_NANOS = 100_000_000L;

    private final Membership membership;
    private final TimeSource time;
    private final RandomGenerator random;
    private boolean waiting;
    private boolean watching;
    private long answerBy;
    private long nextCall;
    private long lastPeer;
    private long retry = RETRY_NANOS;
    private boolean urgent = true;
    private List<InstanceRef> rankedFor = List.of();
    private boolean watcher;

    ServiceReader(Membership membership, TimeSource time, RandomGenerator random) {
        this.membership = membership;
        this.time = time;
        this.random = random;
        this.nextCall = time.nanoTime();
        this.lastPeer = time.nanoTime();
    }

    void heardPeer() {
        lastPeer = time.nanoTime();
    }

    /** Asks for a plain read as soon as possible. */
    void readSoon() {
        urgent = true;
    }

    void onTick(long have, Effects out) {
        long now = time.nanoTime();
        if (waiting && now - answerBy >= 0) {
            failed();
        }
        boolean replacesWatch = urgent && waiting && watching;
        if ((waiting && !replacesWatch) || now - nextCall < 0) {
            return;
        }
        boolean isolated = now - lastPeer >= POLL_NANOS;
        if (urgent || have == 0) {
            call(have, Duration.ZERO, out);
        } else if (isWatcher()) {
            call(have, WATCH, out);
        } else if (isolated) {
            call(have, Duration.ZERO, out);
        }
    }

    private void call(long have, Duration maxWait, Effects out) {
        waiting = true;
        urgent = false;
        watching = !maxWait.isZero();
        answerBy = time.nanoTime() + maxWait.toNanos() + ANSWER_NANOS;
        out.add(new Effect.ReadConfiguration(have, maxWait));
        out.add(new Effect.Measure(Signal.CONFIGURATION_CALLS, watching ? "watch" : "read", 1));
    }

    /**
     * Notes an answer.
     *
     * @param stale whether the service named an older number than the one in force; it then answers
     *     watches without waiting and must not be called in a loop
     */
    void succeeded(boolean stale) {
        waiting = false;
        retry = RETRY_NANOS;
        long pause = POLL_NANOS + random.nextLong(JITTER_NANOS);
        nextCall = time.nanoTime() + (isWatcher() && !stale ? WATCH_PAUSE_NANOS : pause);
    }

    void failed() {
        waiting = false;
        nextCall = time.nanoTime() + retry + random.nextLong(JITTER_NANOS);
        retry = Math.min(MAX_RETRY_NANOS, retry * 2);
    }

    boolean isWatcher() {
        List<InstanceRef> live = membership.live();
        if (live != rankedFor) {
            rankedFor = live;
            InstanceRef self = membership.self();
            List<InstanceRef> near =
                    live.stream().filter(i -> i.dataCentre().equals(self.dataCentre())).toList();
            watcher =
                    RendezvousHash.rank("configuration/" + self.dataCentre(), near, InstanceRef::id)
                            .stream()
                            .limit(WATCHERS)
                            .anyMatch(i -> i.id().equals(self.id()));
        }
        return watcher;
    }
}
