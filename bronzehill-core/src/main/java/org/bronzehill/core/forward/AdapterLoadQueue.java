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
    private static final Duration LIFETIME = Duration.ofMillis(500);

    private final TimeSource time;
    private final Map<AdapterRef, PendingLoad> wishes = new LinkedHashMap<>();

    /**
     * Requests of one instance that wait for an adapter.
     *
     * @param instance instance that received them
     * @param calls number of requests
     * @param targetByNanos monotonic time at which the target of the last of them passes
     */
    record LoadDemand(String instance, int calls, long targetByNanos) {}

    private static final class PendingLoad {
        private final Map<String, LoadDemand> byInstance = new HashMap<>();
        private int version;
        private long askedAt;

        private int calls() {
            return byInstance.values().stream().mapToInt(LoadDemand::calls).sum();
        }

        private boolean isInTime(long arrivesAt) {
            return byInstance.values().stream().anyMatch(w -> w.targetByNanos() - arrivesAt > 0);
        }
    }

    AdapterLoadQueue(TimeSource time) {
        this.time = time;
    }

    /** Adds a wish, or renews one. */
    void add(AdapterRef adapter, int version, LoadDemand waiting) {
        PendingLoad wish = wishes.computeIfAbsent(adapter, a -> new PendingLoad());
        wish.version = Math.max(wish.version, version);
        wish.askedAt = time.nanoTime();
        wish.byInstance.put(waiting.instance(), waiting);
    }

    /**
     * Drops wishes that were not repeated and returns the adapter to be fetched next.
     *
     * @param load expected time of a load
     */
    Option<AdapterRef> next(Duration load) {
        long now = time.nanoTime();
        wishes.values().removeIf(w -> now - w.askedAt > LIFETIME.toNanos());
        long arrivesAt = now + load.toNanos();
        Comparator<Map.Entry<AdapterRef, PendingLoad>> order =
                Comparator.<Map.Entry<AdapterRef, PendingLoad>, Boolean>comparing(
                                e -> !e.getValue().isInTime(arrivesAt))
                        .thenComparingInt(e -> -e.getValue().calls());
        // Of equal ones the first that was asked for.
        return Option.ofOptional(wishes.entrySet().stream().min(order).map(Map.Entry::getKey));
    }

    /** Returns the lowest version of the adapter that serves all who wait for it. */
    int version(AdapterRef adapter) {
        return wishes.get(adapter).version;
    }

    void remove(AdapterRef adapter) {
        wishes.remove(adapter);
    }

    void clear() {
        wishes.clear();
    }

    boolean contains(AdapterRef adapter) {
        return wishes.containsKey(adapter);
    }

    int size() {
        return wishes.size();
    }

    Collection<AdapterRef> adapters() {
        return wishes.keySet();
    }
}
