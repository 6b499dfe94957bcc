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
 * Decides when this instance calls the configuration service. At most one watch (long poll) and one
 * plain read are open at a time.
 */
final class ServiceReader {

    /** Two watchers per data centre, so that the failure of one causes no delay. */
    private static final int WATCHERS_PER_DATA_CENTRE = 2;

    private static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(30);
    private static final long ANSWER_TIMEOUT_NANOS = 2_000_000_000L;

    /**
     * Minimum pause between two calls of a non-watcher. It also reads if no peer has sent a message
     * for this time.
     */
    private static final long POLL_INTERVAL_NANOS = 5_000_000_000L;

    private static final long MAX_JITTER_NANOS = 1_000_000_000L;
    private static final long MIN_RETRY_NANOS = 1_000_000_000L;

    /**
     * Limits the pause between retries, so that the first read after an outage and the propagation
     * of the number that it returns take at most 5 s together.
     */
    private static final long MAX_RETRY_NANOS = 3_000_000_000L;

    /**
     * The connection of an open watch may have failed silently. Because of the additional plain
     * reads, a new number is still found within 5 s. Ten watchers make three of these calls per
     * second.
     */
    private static final long WATCHER_READ_INTERVAL_NANOS = 3_000_000_000L;

    /**
     * Non-watchers read after a random time between this interval and twice this interval, in case
     * only the watchers have lost the service. 380 instances make about ten of these calls per
     * second.
     */
    private static final long NON_WATCHER_READ_INTERVAL_NANOS = 25_000_000_000L;

    /** Limits the rate of calls to a service that answers watches without waiting. */
    private static final long MIN_WATCH_INTERVAL_NANOS = 100_000_000L;

    private final Membership membership;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Call read = new Call();
    private final Call watch = new Call();
    private long nextCallNanos;
    private long nextReadNanos;
    private long lastPeerMessageNanos;
    private long retryNanos = MIN_RETRY_NANOS;
    private boolean readRequested = true;
    private List<InstanceRef> watcherDeterminedFor = List.of();
    private boolean watcher;

    private static final class Call {
        private boolean open;
        private long deadlineNanos;
    }

    ServiceReader(Membership membership, TimeSource time, RandomGenerator random) {
        this.membership = membership;
        this.time = time;
        this.random = random;
        this.nextCallNanos = time.nanoTime();
        this.nextReadNanos = time.nanoTime();
        this.lastPeerMessageNanos = time.nanoTime();
    }

    void onPeerMessage() {
        lastPeerMessageNanos = time.nanoTime();
    }

    /** Requests a plain read at the next opportunity. */
    void requestRead() {
        readRequested = true;
    }

    void onTick(long currentNumber, Effects out) {
        long now = time.nanoTime();
        for (Call c : List.of(read, watch)) {
            if (c.open && now - c.deadlineNanos >= 0) {
                c.open = false;
                backOff();
            }
        }
        if (now - nextCallNanos < 0) {
            return;
        }
        if (!read.open && readDue(currentNumber, now)) {
            readRequested = false;
            nextReadNanos = now + readInterval();
            call(read, "read", currentNumber, Duration.ZERO, out);
        } else if (!watch.open && isWatcher() && currentNumber > 0) {
            call(watch, "watch", currentNumber, MAX_WATCH_WAIT, out);
        }
    }

    private long readInterval() {
        return isWatcher()
                ? WATCHER_READ_INTERVAL_NANOS + random.nextLong(MAX_JITTER_NANOS)
                : NON_WATCHER_READ_INTERVAL_NANOS
                        + random.nextLong(NON_WATCHER_READ_INTERVAL_NANOS);
    }

    private boolean readDue(long currentNumber, long now) {
        if (readRequested || currentNumber == 0) {
            return true;
        }
        return now - nextReadNanos >= 0
                || (!isWatcher() && now - lastPeerMessageNanos >= POLL_INTERVAL_NANOS);
    }

    private void call(Call call, String label, long currentNumber, Duration maxWait, Effects out) {
        call.open = true;
        call.deadlineNanos = time.nanoTime() + maxWait.toNanos() + ANSWER_TIMEOUT_NANOS;
        out.add(new Effect.ReadConfiguration(currentNumber, maxWait));
        out.add(new Effect.RecordMetric(CoreMetric.CONFIGURATION_CALLS, label, 1));
    }

    /**
     * Handles an answer. Answers do not identify their call; if the wrong call is closed, the other
     * one is closed by its timeout.
     *
     * @param stale whether the service returned an older number than the one in force; it then
     *     answers watches without waiting and must not be called in a loop
     */
    void onSuccess(boolean stale) {
        closeAnsweredCall();
        retryNanos = MIN_RETRY_NANOS;
        long pauseNanos = isWatcher() ? WATCHER_READ_INTERVAL_NANOS : POLL_INTERVAL_NANOS;
        boolean renewWatch = isWatcher() && !stale;
        nextCallNanos =
                time.nanoTime()
                        + (renewWatch
                                ? MIN_WATCH_INTERVAL_NANOS
                                : pauseNanos + random.nextLong(MAX_JITTER_NANOS));
    }

    void onFailure() {
        closeAnsweredCall();
        backOff();
    }

    private void closeAnsweredCall() {
        if (read.open) {
            read.open = false;
        } else {
            watch.open = false;
        }
    }

    private void backOff() {
        long pauseNanos = isWatcher() ? retryNanos : POLL_INTERVAL_NANOS;
        nextCallNanos = time.nanoTime() + pauseNanos + random.nextLong(MAX_JITTER_NANOS);
        retryNanos = Math.min(MAX_RETRY_NANOS, retryNanos * 2);
    }

    boolean isWatcher() {
        List<InstanceRef> live = membership.live();
        if (live != watcherDeterminedFor) {
            watcherDeterminedFor = live;
            InstanceRef self = membership.self();
            List<InstanceRef> inDataCentre =
                    live.stream().filter(i -> i.dataCentre().equals(self.dataCentre())).toList();
            boolean wasWatcher = watcher;
            watcher =
                    RendezvousHash.rank(
                                    "configuration/" + self.dataCentre(),
                                    inDataCentre,
                                    InstanceRef::id)
                            .stream()
                            .limit(WATCHERS_PER_DATA_CENTRE)
                            .anyMatch(i -> i.id().equals(self.id()));
            if (watcher && !wasWatcher) {
                nextReadNanos = time.nanoTime() + WATCHER_READ_INTERVAL_NANOS;
            }
        }
        return watcher;
    }
}
