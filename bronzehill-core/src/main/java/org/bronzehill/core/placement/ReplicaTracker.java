package org.bronzehill.core.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzehill.core.model.AdapterVersion;

/**
 * Decides how many engines serve a hot adapter. The count rises after the waiting work has exceeded
 * one batch of each of them for 500 ms, and falls after 10 s below a quarter of one batch.
 */
final class ReplicaTracker {

    private static final long SCALE_UP_DELAY_NANOS = Duration.ofMillis(500).toNanos();
    private static final long SCALE_DOWN_DELAY_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int MAX_TRACKED_ADAPTERS = 1024;

    private final Map<AdapterVersion, HotAdapter> tracked = new LinkedHashMap<>();

    /**
     * Notes the waiting work of an adapter.
     *
     * @param waiting waiting requests at all engines
     * @param resident engines on which it is resident, without those that load it
     */
    void observe(AdapterVersion adapter, int waiting, int batch, int resident, long nowNanos) {
        HotAdapter hot = tracked.get(adapter);
        if (hot == null) {
            if (waiting <= batch * Math.max(1, resident)) {
                return;
            }
            if (tracked.size() >= MAX_TRACKED_ADAPTERS) {
                tracked.remove(tracked.keySet().iterator().next());
            }
            hot = new HotAdapter(Math.max(1, resident));
            tracked.put(adapter, hot);
        }
        hot.observe(waiting, batch, resident, nowNanos);
        if (hot.targetReplicas == 1
                && resident <= 1
                && hot.overSince < 0
                && waiting < batch / 4.0) {
            tracked.remove(adapter);
        }
    }

    /** Returns on how many engines the adapter is to be served; 0 if that does not matter. */
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

        void observe(int waiting, int batch, int resident, long nowNanos) {
            boolean over = waiting > batch * targetReplicas;
            boolean under = waiting < batch / 4.0;
            overSince = over ? (overSince < 0 ? nowNanos : overSince) : -1;
            underSince = under ? (underSince < 0 ? nowNanos : underSince) : -1;
            // The next replica is added only after the last one has arrived.
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
