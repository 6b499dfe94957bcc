package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;

/** Calls that wait for an adapter at an upstream; one load serves all that wait for it. */
final class AdapterWaits {

    /** Interval at which a wish is repeated, since messages may be lost. */
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(150);

    /** Wishes without a sign of the instance that gives the orders before calls look elsewhere. */
    private static final int MAX_UNANSWERED_REQUESTS = 4;

    /** Weight of one load in the average load time. */
    private static final double AVERAGE_WEIGHT = 0.2;

    private final TimeSource time;
    private final Map<Key, Wait> waits = new HashMap<>();
    private double averageLoadMs;

    record Key(String upstream, AdapterRef adapter) {}

    /** Calls that wait for one load. */
    static final class Wait {
        private final List<ForwardCall> calls = new ArrayList<>();
        private final int version;
        private final long since;
        private long requestedAt;
        private int unanswered;

        private Wait(int version, long since) {
            this.version = version;
            this.since = since;
            this.requestedAt = since;
        }

        int version() {
            return version;
        }

        List<ForwardCall> calls() {
            return calls;
        }

        /** Returns how many calls wait, and until when one of them can be answered on time. */
        AdapterLoadQueue.LoadDemand demand(String instance) {
            int count = 0;
            long latest = Long.MIN_VALUE;
            for (ForwardCall call : calls) {
                if (call.isAwaitingAdapter()) {
                    count++;
                    latest = Math.max(latest, call.request().targetDeadlineNanos());
                }
            }
            return new AdapterLoadQueue.LoadDemand(instance, count, latest);
        }
    }

    /**
     * @param expected load time assumed until one was measured
     */
    AdapterWaits(TimeSource time, Duration expected) {
        this.time = time;
        this.averageLoadMs = expected.toMillis();
    }

    /** Returns the expected time from the wish to the adapter's arrival. */
    Duration expectedLoad() {
        return Duration.ofMillis(Math.round(averageLoadMs));
    }

    /** Adds a call; returns its wait if it is the first one. */
    Option<Wait> add(ForwardCall call, AdapterRef adapter, int version) {
        Key key = new Key(call.upstream().id(), adapter);
        Wait wait = waits.get(key);
        boolean first = wait == null;
        if (first) {
            wait = new Wait(version, time.nanoTime());
            waits.put(key, wait);
        }
        wait.calls.add(call);
        return first ? Option.of(wait) : Option.none();
    }

    /** Ends a wait because the adapter has arrived; returns the calls to be sent. */
    List<ForwardCall> removeLoaded(String upstream, AdapterRef adapter, int version) {
        Key key = new Key(upstream, adapter);
        Wait wait = waits.get(key);
        if (wait == null || version < wait.version) {
            return List.of();
        }
        waits.remove(key);
        updateAverage(wait);
        return wait.calls;
    }

    /** Notes that a call gave up waiting, which counts as a load of that time. */
    void onAbandoned(String upstream, AdapterRef adapter) {
        Wait wait = waits.get(new Key(upstream, adapter));
        if (wait != null) {
            updateAverage(wait);
        }
    }

    private void updateAverage(Wait wait) {
        double took = (time.nanoTime() - wait.since) / 1e6;
        averageLoadMs = averageLoadMs * (1 - AVERAGE_WEIGHT) + took * AVERAGE_WEIGHT;
    }

    /** Ends a wait because the adapter will not arrive; returns the calls to be placed again. */
    List<ForwardCall> removeFailed(String upstream, AdapterRef adapter) {
        Wait wait = waits.remove(new Key(upstream, adapter));
        return wait == null ? List.of() : wait.calls;
    }

    /** Ends the waits at an upstream that is gone. */
    List<ForwardCall> removeAllAt(String upstream) {
        List<ForwardCall> calls = new ArrayList<>();
        for (Key key : List.copyOf(waits.keySet())) {
            if (key.upstream().equals(upstream)) {
                calls.addAll(removeFailed(upstream, key.adapter()));
            }
        }
        return calls;
    }

    /** Notes that the load is known to the instance that gives the orders. */
    void onAcknowledged(String upstream, AdapterRef adapter) {
        Wait wait = waits.get(new Key(upstream, adapter));
        if (wait != null) {
            wait.unanswered = 0;
        }
    }

    /** Ends the waits of which nobody takes notice; returns their calls. */
    List<ForwardCall> removeUnanswered() {
        List<ForwardCall> calls = new ArrayList<>();
        for (Map.Entry<Key, Wait> e : List.copyOf(waits.entrySet())) {
            if (e.getValue().unanswered > MAX_UNANSWERED_REQUESTS) {
                calls.addAll(removeFailed(e.getKey().upstream(), e.getKey().adapter()));
            }
        }
        return calls;
    }

    boolean isEmpty() {
        return waits.isEmpty();
    }

    /** Returns the calls that wait. */
    List<ForwardCall> calls() {
        List<ForwardCall> calls = new ArrayList<>();
        waits.values().forEach(w -> calls.addAll(w.calls));
        return calls;
    }

    /** Returns the loads that calls wait for. */
    List<Key> keys() {
        return List.copyOf(waits.keySet());
    }

    /** Returns the waits whose wish is to be repeated now; drops those that no call needs. */
    Map<Key, Wait> dueForRepeat() {
        long now = time.nanoTime();
        Map<Key, Wait> due = new HashMap<>();
        waits.values().removeIf(w -> w.calls.stream().noneMatch(ForwardCall::isAwaitingAdapter));
        waits.forEach(
                (key, wait) -> {
                    if (now - wait.requestedAt >= REPEAT_INTERVAL.toNanos()) {
                        wait.requestedAt = now;
                        wait.unanswered++;
                        due.put(key, wait);
                    }
                });
        return due;
    }
}
