package org.bronzehill.core.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzehill.core.model.AdapterVersion;

/**
 * Decides how many engines serve an adapter that has many waiting requests. A replica is added when
 * the waiting requests have exceeded one batch per replica for 500 ms, and removed when they have
 * stayed below a quarter of one batch for 10 s.
 */
final class ReplicaTracker {

    private static final long SCALE_UP_DELAY_NANOS = Duration.ofMillis(500).toNanos();
    private static final long SCALE_DOWN_DELAY_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int MAX_TRACKED_ADAPTERS = 1024;

    private final Map<AdapterVersion, TrackedAdapter> tracked = new LinkedHashMap<>();

    /**
     * Updates the replica target of an adapter from its waiting requests.
     *
     * @param waiting number of waiting requests at all engines
     * @param resident number of engines on which it is resident, excluding those that load it
     */
    void observe(AdapterVersion adapter, int waiting, int batchSize, int resident, long nowNanos) {
        TrackedAdapter state = tracked.get(adapter);
        if (state == null) {
            if (waiting <= batchSize * Math.max(1, resident)) {
                return;
            }
            if (tracked.size() >= MAX_TRACKED_ADAPTERS) {
                tracked.remove(tracked.keySet().iterator().next());
            }
            state = new TrackedAdapter(Math.max(1, resident));
            tracked.put(adapter, state);
        }
        state.observe(waiting, batchSize, resident, nowNanos);
        if (state.targetReplicas == 1
                && resident <= 1
                && state.overloadedSinceNanos < 0
                && waiting < batchSize / 4.0) {
            tracked.remove(adapter);
        }
    }

    /** Returns the number of engines that should serve the adapter; 0 if it is not tracked. */
    int targetReplicas(AdapterVersion adapter) {
        TrackedAdapter state = tracked.get(adapter);
        return state == null ? 0 : state.targetReplicas;
    }

    boolean isTracked(AdapterVersion adapter) {
        return tracked.containsKey(adapter);
    }

    private static final class TrackedAdapter {
        private int targetReplicas;
        private long overloadedSinceNanos = -1;
        private long underusedSinceNanos = -1;

        TrackedAdapter(int targetReplicas) {
            this.targetReplicas = targetReplicas;
        }

        void observe(int waiting, int batchSize, int resident, long nowNanos) {
            boolean overloaded = waiting > batchSize * targetReplicas;
            boolean underused = waiting < batchSize / 4.0;
            overloadedSinceNanos =
                    overloaded ? (overloadedSinceNanos < 0 ? nowNanos : overloadedSinceNanos) : -1;
            underusedSinceNanos =
                    underused ? (underusedSinceNanos < 0 ? nowNanos : underusedSinceNanos) : -1;
            // The next replica is added only after the previous one has been loaded.
            if (overloaded
                    && resident >= targetReplicas
                    && nowNanos - overloadedSinceNanos >= SCALE_UP_DELAY_NANOS) {
                targetReplicas++;
                overloadedSinceNanos = -1;
            } else if (underused
                    && targetReplicas > 1
                    && nowNanos - underusedSinceNanos >= SCALE_DOWN_DELAY_NANOS) {
                targetReplicas--;
                underusedSinceNanos = nowNanos;
            }
        }
    }
}
