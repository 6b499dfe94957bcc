package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;

/**
 * Pending adapter loads of one engine, for requests of all instances, and their priority.
 *
 * <p>More adapters may be requested than can be loaded in time, for example after the loss of
 * engines. In order of arrival, all of them would be loaded slightly too late. Therefore adapters
 * come first whose requests can still be answered within their target; among these, the adapter
 * with the most waiting requests comes first. The others follow when there is capacity.
 */
final class AdapterLoadQueue {

    /**
     * Time after which a pending load expires. Requests that still wait renew it more often than
     * this.
     */
    private static final Duration REQUEST_LIFETIME = Duration.ofMillis(500);

    private final TimeSource time;
    private final Map<AdapterRef, PendingLoad> pending = new LinkedHashMap<>();

    /**
     * Requests of one instance that wait for an adapter.
     *
     * @param instance instance that received the requests
     * @param calls number of requests
     * @param latestTargetNanos monotonic time by which the last of them must be sent to meet its
     *     target
     */
    record LoadDemand(String instance, int calls, long latestTargetNanos) {}

    private static final class PendingLoad {
        private final Map<String, LoadDemand> byInstance = new HashMap<>();
        private int version;
        private long requestedAt;

        private int calls() {
            return byInstance.values().stream().mapToInt(LoadDemand::calls).sum();
        }

        private boolean canMeetTarget(long loadedAt) {
            return byInstance.values().stream()
                    .anyMatch(demand -> demand.latestTargetNanos() - loadedAt > 0);
        }
    }

    AdapterLoadQueue(TimeSource time) {
        this.time = time;
    }

    /** Adds a pending load, or renews an existing one. */
    void add(AdapterRef adapter, int version, LoadDemand demand) {
        PendingLoad load = pending.computeIfAbsent(adapter, a -> new PendingLoad());
        load.version = Math.max(load.version, version);
        load.requestedAt = time.nanoTime();
        load.byInstance.put(demand.instance(), demand);
    }

    /**
     * Removes expired entries and returns the adapter to load next.
     *
     * @param expectedLoadTime expected time of a load
     */
    Option<AdapterRef> next(Duration expectedLoadTime) {
        removeExpired();
        long loadedAt = time.nanoTime() + expectedLoadTime.toNanos();
        Comparator<Map.Entry<AdapterRef, PendingLoad>> order =
                Comparator.<Map.Entry<AdapterRef, PendingLoad>, Boolean>comparing(
                                e -> !e.getValue().canMeetTarget(loadedAt))
                        .thenComparingInt(e -> -e.getValue().calls());
        // Ties go to the adapter that was requested first.
        return Option.ofOptional(pending.entrySet().stream().min(order).map(Map.Entry::getKey));
    }

    /** Removes loads for which no request waits any longer. */
    void removeExpired() {
        long now = time.nanoTime();
        pending.values().removeIf(load -> now - load.requestedAt > REQUEST_LIFETIME.toNanos());
    }

    /** Returns the lowest version of the adapter that serves all requests waiting for it. */
    int version(AdapterRef adapter) {
        return pending.get(adapter).version;
    }

    void remove(AdapterRef adapter) {
        pending.remove(adapter);
    }

    void clear() {
        pending.clear();
    }

    boolean contains(AdapterRef adapter) {
        return pending.containsKey(adapter);
    }

    int size() {
        return pending.size();
    }

    Collection<AdapterRef> adapters() {
        return pending.keySet();
    }
}
