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
 * Adapters that requests of all instances wait for at one engine, and the order of their loads.
 *
 * <p>Answers a load in which more adapters are asked for than can be fetched in time, as after the
 * loss of engines: served in their order of arrival, all would come a little too late. So adapters
 * whose requests can still be answered within their target go first, those with most requests
 * before others, and the rest follow as there is time.
 */
final class AdapterLoadQueue {

    /** A wish is repeated while a request waits; one that is not repeated has lost its purpose. */
    private static final Duration REQUEST_LIFETIME = Duration.ofMillis(500);

    private final TimeSource time;
    private final Map<AdapterRef, PendingLoad> pending = new LinkedHashMap<>();

    /**
     * Requests of one instance that wait for an adapter.
     *
     * @param instance instance that received them
     * @param calls number of requests
     * @param targetByNanos monotonic time at which the target of the last of them passes
     */
    record LoadDemand(String instance, int calls, long latestTargetNanos) {}

    private static final class PendingLoad {
        private final Map<String, LoadDemand> byInstance = new HashMap<>();
        private int version;
        private long requestedAt;

        private int calls() {
            return byInstance.values().stream().mapToInt(LoadDemand::calls).sum();
        }

        private boolean canMeetTarget(long arrivesAt) {
            return byInstance.values().stream()
                    .anyMatch(w -> w.latestTargetNanos() - arrivesAt > 0);
        }
    }

    AdapterLoadQueue(TimeSource time) {
        this.time = time;
    }

    /** Adds a wish, or renews one. */
    void add(AdapterRef adapter, int version, LoadDemand demand) {
        PendingLoad load = pending.computeIfAbsent(adapter, a -> new PendingLoad());
        load.version = Math.max(load.version, version);
        load.requestedAt = time.nanoTime();
        load.byInstance.put(demand.instance(), demand);
    }

    /**
     * Drops wishes that were not repeated and returns the adapter to be fetched next.
     *
     * @param load expected time of a load
     */
    Option<AdapterRef> next(Duration expectedLoadTime) {
        long now = time.nanoTime();
        pending.values().removeIf(w -> now - w.requestedAt > REQUEST_LIFETIME.toNanos());
        long arrivesAt = now + expectedLoadTime.toNanos();
        Comparator<Map.Entry<AdapterRef, PendingLoad>> order =
                Comparator.<Map.Entry<AdapterRef, PendingLoad>, Boolean>comparing(
                                e -> !e.getValue().canMeetTarget(arrivesAt))
                        .thenComparingInt(e -> -e.getValue().calls());
        // Of equal ones the first that was asked for.
        return Option.ofOptional(pending.entrySet().stream().min(order).map(Map.Entry::getKey));
    }

    /** Returns the lowest version of the adapter that serves all who wait for it. */
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
