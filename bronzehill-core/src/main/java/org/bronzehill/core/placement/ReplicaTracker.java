package org.bronzehill.core.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzehill.core.model.AdapterVersion;

/**
 * Decides how many engines serve a hot adapter. A replica is added when the waiting requests have
 * exceeded one batch per replica for 500 ms, and removed when they have stayed below a quarter of
 * one batch for 10 s.
 */
final class ReplicaTracker {

    private static final long SCALE_UP_DELAY_NANOS = Duration.ofMillis(500).toNanos();
    private static final long SCALE_DOWN_DELAY_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int MAX_TRACKED_ADAPTERS = 1024;

    private final Map<AdapterVersion, HotAdapter> tracked = new LinkedHashMap<>();

    /**
     * Updates the replica target of an adapter from its waiting requests.
     *
     * @param waiting number of waiting requests at all engines
     * @param resident number of engines on which it is resident, excluding those that load it
     */
    void observe(AdapterVersion adapter, int waiting, int batchSize, int resident, long nowNanos) {
        HotAdapter hot = tracked.get(adapter);
        if (hot == null) {
            if (waiting <= batchSize * Math.max(1, resident)) {
                return;
            }
            if (tracked.size() >= MAX_TRACKED_ADAPTERS) {
                tracked.remove(tracked.keySet().iterator().next());
            }
            hot = new HotAdapter(Math.max(1, resident));
            tracked.put(adapter, hot);
        }
        hot.observe(waiting, batchSize, resident, nowNanos);
        if (hot.targetReplicas == 1
                && resident <= 1
                && hot.overSince < 0
                && waiting < batchSize / 4.0) {
            tracked.remove(adapter);
        }
    }

    /** Returns the number of engines that should serve the adapter; 0 if it is not tracked. */
    int targetReplicas(AdapterVersion adapter) {
        HotAdapter hot = tracked.get(adapter);
        return hot == null ? 0 : hot.targetReplicas;
    }

    boolean isTracked(AdapterVersion adapter) {
        return tracked.containsKey(adapter);
    }

    private static final class HotAdapter {
        private int targetReplicas;
        private long overSince = -1;
        private long underSince = -1;

        HotAdapter(int targetReplicas) {
            this.targetReplicas = targetReplicas;
        }

        void observe(int waiting, int batchSize, int resident, long nowNanos) {
            boolean over = waiting > batchSize * targetReplicas;
            boolean under = waiting < batchSize / 4.0;
            overSince = over ? (overSince < 0 ? nowNanos : overSince) : -1;
            underSince = under ? (underSince < 0 ? nowNanos : underSince) : -1;
            // The next replica is added only after the previous one has been loaded.
            if (over
                    && resident >= targetReplicas
                    && nowNanos - overSince >= SCALE_UP_DELAY_NANOS) {
                targetReplicas++;
                overSince = -1;
            } else if (under
                    && targetReplicas > 1
                    && nowNanos - underSince >= SCALE_DOWN_DELAY_NANOS) {
                targetReplicas--;
                underSince = nowNanos;
            }
        }
    }
}
