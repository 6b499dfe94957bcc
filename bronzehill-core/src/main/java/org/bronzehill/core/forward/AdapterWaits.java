package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;

/**
 * Calls that wait for an adapter at an upstream. One load serves all calls that wait for the same
 * adapter.
 */
final class AdapterWaits {

    /** Interval at which a load request is repeated, since messages may be lost. */
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(150);

    /**
     * Number of repetitions of a load request that the claim holder may leave without an
     * acknowledgement. After one more, the calls are dispatched again.
     */
    private static final int MAX_UNANSWERED_REQUESTS = 4;

    private final TimeSource time;
    private final Map<Key, Wait> waits = new HashMap<>();
    private final AdapterWaitModel model;

    record Key(String upstream, AdapterRef adapter) {}

    /** Calls that wait for one load. */
    static final class Wait {
        private final List<ForwardCall> calls = new ArrayList<>();
        private final int version;
        private final boolean reload;
        private final boolean measurable;
        private final long since;
        private long requestedAt;
        private int unanswered;

        private Wait(int version, boolean reload, boolean measurable, long since) {
            this.version = version;
            this.reload = reload;
            this.measurable = measurable;
            this.since = since;
            this.requestedAt = since;
        }

        int version() {
            return version;
        }

        List<ForwardCall> calls() {
            return calls;
        }

        /**
         * Returns the number of waiting calls and the latest time at which one of them can be sent
         * and still meet its target.
         *
         * @param firstEventTime expected time from sending a call to its first event
         */
        private AdapterLoadQueue.LoadDemand demand(String instance, Duration firstEventTime) {
            int count = 0;
            long latest = Long.MIN_VALUE;
            for (ForwardCall call : calls) {
                if (call.isAwaitingAdapter()) {
                    count++;
                    latest = Math.max(latest, call.request().targetDeadlineNanos());
                }
            }
            return new AdapterLoadQueue.LoadDemand(
                    instance, count, latest - firstEventTime.toNanos());
        }
    }

    /**
     * @param model learns the load time from the waits
     */
    AdapterWaits(TimeSource time, AdapterWaitModel model) {
        this.time = time;
        this.model = model;
    }

    /** Adds a call. Returns the wait if this call is its first one. */
    Option<Wait> add(ForwardCall call, AdapterRef adapter, int version) {
        Key key = new Key(call.upstream().id(), adapter);
        Wait wait = waits.get(key);
        boolean first = wait == null;
        if (first) {
            UpstreamState u = call.upstream();
            boolean measurable = u.idleSlots().count() >= 0 && !u.isReportedLoading(adapter);
            wait = new Wait(version, u.heldRecently(adapter), measurable, time.nanoTime());
            waits.put(key, wait);
        }
        wait.calls.add(call);
        return first ? Option.of(wait) : Option.none();
    }

    /** Returns the demand of the calls of this instance that wait for one load. */
    AdapterLoadQueue.LoadDemand demand(Wait wait, String instance) {
        return wait.demand(instance, model.expectedFirstEventTime());
    }

    /** Ends a wait because the adapter is loaded. Returns the calls to be sent. */
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

    /**
     * Counts the time since the load request as a load time, because a call has stopped waiting.
     */
    void onAbandoned(String upstream, AdapterRef adapter) {
        Wait wait = waits.get(new Key(upstream, adapter));
        if (wait != null) {
            updateAverage(wait);
        }
    }

    private void updateAverage(Wait wait) {
        if (wait.measurable) {
            model.onLoadWaited(Duration.ofNanos(time.nanoTime() - wait.since), wait.reload);
        }
    }

    /**
     * Ends a wait because the adapter will not be loaded. Returns the calls to be dispatched again.
     */
    List<ForwardCall> removeFailed(String upstream, AdapterRef adapter) {
        Wait wait = waits.remove(new Key(upstream, adapter));
        return wait == null ? List.of() : wait.calls;
    }

    /** Ends all waits at an upstream. Returns the calls to be dispatched again. */
    List<ForwardCall> removeAllAt(String upstream) {
        List<ForwardCall> calls = new ArrayList<>();
        for (Key key : List.copyOf(waits.keySet())) {
            if (key.upstream().equals(upstream)) {
                calls.addAll(removeFailed(upstream, key.adapter()));
            }
        }
        return calls;
    }

    /** Records that the claim holder knows of the load. */
    void onAcknowledged(String upstream, AdapterRef adapter) {
        Wait wait = waits.get(new Key(upstream, adapter));
        if (wait != null) {
            wait.unanswered = 0;
        }
    }

    /** Ends the waits whose load requests were not acknowledged. Returns their calls. */
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

    List<ForwardCall> calls() {
        List<ForwardCall> calls = new ArrayList<>();
        waits.values().forEach(w -> calls.addAll(w.calls));
        return calls;
    }

    List<Key> keys() {
        return List.copyOf(waits.keySet());
    }

    /**
     * Returns the waits whose load request is due for repetition. Drops waits without a waiting
     * call.
     */
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
