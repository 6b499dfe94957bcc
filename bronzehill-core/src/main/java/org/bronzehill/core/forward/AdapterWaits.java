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
    private static final Duration REPEAT = Duration.ofMillis(150);

    /** Wishes without a sign of the instance that gives the orders before calls look elsewhere. */
    private static final int MAX_UNANSWERED = 4;

    /** Weight of one load in the average load time. */
    private static final double WEIGHT = 0.2;

    private final TimeSource time;
    private final Map<Key, Wait> waits = new HashMap<>();
    private double loadMs;

    record Key(String upstream, AdapterRef adapter) {}

    /** Calls that wait for one load. */
    static final class Wait {
        private final List<ForwardCall> calls = new ArrayList<>();
        private final int version;
        private final long since;
        private long askedAt;
        private int unanswered;

        private Wait(int version, long since) {
            this.version = version;
            this.since = since;
            this.askedAt = since;
        }

        int version() {
            return version;
        }

        List<ForwardCall> calls() {
            return calls;
        }

        /** Returns how many calls wait, and until when one of them can be answered on time. */
        AdapterLoadQueue.LoadDemand waiting(String instance) {
            int count = 0;
            long latest = Long.MIN_VALUE;
            for (ForwardCall call : calls) {
                if (call.isLoading()) {
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
        this.loadMs = expected.toMillis();
    }

    /** Returns the expected time from the wish to the adapter's arrival. */
    Duration expectedLoad() {
        return Duration.ofMillis(Math.round(loadMs));
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
    List<ForwardCall> arrived(String upstream, AdapterRef adapter, int version) {
        Key key = new Key(upstream, adapter);
        Wait wait = waits.get(key);
        if (wait == null || version < wait.version) {
            return List.of();
        }
        waits.remove(key);
        learn(wait);
        return wait.calls;
    }

    /** Notes that a call gave up waiting, which counts as a load of that time. */
    void late(String upstream, AdapterRef adapter) {
        Wait wait = waits.get(new Key(upstream, adapter));
        if (wait != null) {
            learn(wait);
        }
    }

    private void learn(Wait wait) {
        double took = (time.nanoTime() - wait.since) / 1e6;
        loadMs = loadMs * (1 - WEIGHT) + took * WEIGHT;
    }

    /** Ends a wait because the adapter will not arrive; returns the calls to be placed again. */
    List<ForwardCall> failed(String upstream, AdapterRef adapter) {
        Wait wait = waits.remove(new Key(upstream, adapter));
        return wait == null ? List.of() : wait.calls;
    }

    /** Ends the waits at an upstream that is gone. */
    List<ForwardCall> failedAt(String upstream) {
        List<ForwardCall> calls = new ArrayList<>();
        for (Key key : List.copyOf(waits.keySet())) {
            if (key.upstream().equals(upstream)) {
                calls.addAll(failed(upstream, key.adapter()));
            }
        }
        return calls;
    }

    /** Notes that the load is known to the instance that gives the orders. */
    void underWay(String upstream, AdapterRef adapter) {
        Wait wait = waits.get(new Key(upstream, adapter));
        if (wait != null) {
            wait.unanswered = 0;
        }
    }

    /** Ends the waits of which nobody takes notice; returns their calls. */
    List<ForwardCall> overdue() {
        List<ForwardCall> calls = new ArrayList<>();
        for (Map.Entry<Key, Wait> e : List.copyOf(waits.entrySet())) {
            if (e.getValue().unanswered > MAX_UNANSWERED) {
                calls.addAll(failed(e.getKey().upstream(), e.getKey().adapter()));
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
    Map<Key, Wait> toRepeat() {
        long now = time.nanoTime();
        Map<Key, Wait> due = new HashMap<>();
        waits.values().removeIf(w -> w.calls.stream().noneMatch(ForwardCall::isLoading));
        waits.forEach(
                (key, wait) -> {
                    if (now - wait.askedAt >= REPEAT.toNanos()) {
                        wait.askedAt = now;
                        wait.unanswered++;
                        due.put(key, wait);
                    }
                });
        return due;
    }
}
