package org.bronzehill.core.spread;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;

/**
 * Decides when this instance calls the configuration service. At most one watch and one plain read
 * wait for an answer at a time.
 */
final class ServiceReader {

    /** Two watchers in each data centre, so that one may fail without a delay. */
    private static final int WATCHERS = 2;

    private static final Duration WATCH = Duration.ofSeconds(30);
    private static final long ANSWER_NANOS = 2_000_000_000L;
    private static final long POLL_NANOS = 5_000_000_000L;
    private static final long JITTER_NANOS = 1_000_000_000L;
    private static final long RETRY_NANOS = 1_000_000_000L;

    /** Keeps the first read after an outage, and the spread of its number, within 5 s. */
    private static final long MAX_RETRY_NANOS = 3_000_000_000L;

    /**
     * The connection of a waiting watch may be silent. A plain read beside it finds a new number
     * within the bound of 5 s; ten watchers need three of these calls per second.
     */
    private static final long CHECK_NANOS = 3_000_000_000L;

    /**
     * The other instances read now and then, for the case that only the watchers have lost the
     * service: 380 instances need about ten of these calls per second.
     */
    private static final long OTHERS_NANOS = 25_000_000_000L;

    /** Bounds the calls to a service that does not hold a watch open. */
    private static final long WATCH_PAUSE_NANOS = 100_000_000L;

    private final Membership membership;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Call read = new Call();
    private final Call watch = new Call();
    private long nextCall;
    private long nextCheck;
    private long lastPeer;
    private long retry = RETRY_NANOS;
    private boolean urgent = true;
    private List<InstanceRef> rankedFor = List.of();
    private boolean watcher;

    private static final class Call {
        private boolean open;
        private long answerBy;
    }

    ServiceReader(Membership membership, TimeSource time, RandomGenerator random) {
        this.membership = membership;
        this.time = time;
        this.random = random;
        this.nextCall = time.nanoTime();
        this.nextCheck = time.nanoTime();
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
        for (Call c : List.of(read, watch)) {
            if (c.open && now - c.answerBy >= 0) {
                c.open = false;
                backOff();
            }
        }
        if (now - nextCall < 0) {
            return;
        }
        if (!read.open && readDue(have, now)) {
            urgent = false;
            nextCheck = now + checkPause();
            call(read, "read", have, Duration.ZERO, out);
        } else if (!watch.open && isWatcher() && have > 0) {
            call(watch, "watch", have, WATCH, out);
        }
    }

    private long checkPause() {
        return isWatcher()
                ? CHECK_NANOS + random.nextLong(JITTER_NANOS)
                : OTHERS_NANOS + random.nextLong(OTHERS_NANOS);
    }

    private boolean readDue(long have, long now) {
        if (urgent || have == 0) {
            return true;
        }
        return now - nextCheck >= 0 || (!isWatcher() && now - lastPeer >= POLL_NANOS);
    }

    private void call(Call call, String label, long have, Duration maxWait, Effects out) {
        call.open = true;
        call.answerBy = time.nanoTime() + maxWait.toNanos() + ANSWER_NANOS;
        out.add(new Effect.ReadConfiguration(have, maxWait));
        out.add(new Effect.RecordMetric(CoreMetric.CONFIGURATION_CALLS, label, 1));
    }

    /**
     * Notes an answer. Answers do not name their call; one that is counted for the wrong call is
     * corrected by the time limit of the other.
     *
     * @param stale whether the service named an older number than the one in force; it then answers
     *     watches without waiting and must not be called in a loop
     */
    void succeeded(boolean stale) {
        answered();
        retry = RETRY_NANOS;
        long pause = isWatcher() ? CHECK_NANOS : POLL_NANOS;
        boolean renew = isWatcher() && !stale;
        nextCall =
                time.nanoTime()
                        + (renew ? WATCH_PAUSE_NANOS : pause + random.nextLong(JITTER_NANOS));
    }

    void failed() {
        answered();
        backOff();
    }

    private void answered() {
        if (read.open) {
            read.open = false;
        } else {
            watch.open = false;
        }
    }

    private void backOff() {
        long pause = isWatcher() ? retry : POLL_NANOS;
        nextCall = time.nanoTime() + pause + random.nextLong(JITTER_NANOS);
        retry = Math.min(MAX_RETRY_NANOS, retry * 2);
    }

    boolean isWatcher() {
        List<InstanceRef> live = membership.live();
        if (live != rankedFor) {
            rankedFor = live;
            InstanceRef self = membership.self();
            List<InstanceRef> near =
                    live.stream().filter(i -> i.dataCentre().equals(self.dataCentre())).toList();
            boolean before = watcher;
            watcher =
                    RendezvousHash.rank("configuration/" + self.dataCentre(), near, InstanceRef::id)
                            .stream()
                            .limit(WATCHERS)
                            .anyMatch(i -> i.id().equals(self.id()));
            if (watcher && !before) {
                nextCheck = time.nanoTime() + CHECK_NANOS;
            }
        }
        return watcher;
    }
}
