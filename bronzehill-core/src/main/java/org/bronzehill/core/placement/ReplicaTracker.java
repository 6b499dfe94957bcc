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

    private static final long RAISE_NANOS = Duration.ofMillis(500).toNanos();
    private static final long LOWER_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int MAX_TRACKED = 1024;

    private final Map<AdapterVersion, Hot> tracked = new LinkedHashMap<>();

    /**
     * Notes the waiting work of an adapter.
     *
     * @param waiting waiting requests at all engines
     * @param resident engines on which it is resident, without those that load it
     */
    void observe(AdapterVersion adapter, int waiting, int batch, int resident, long nowNanos) {
        Hot hot = tracked.get(adapter);
        if (hot == null) {
            if (waiting <= batch * Math.max(1, resident)) {
                return;
            }
            if (tracked.size() >= MAX_TRACKED) {
                tracked.remove(tracked.keySet().iterator().next());
            }
            hot = new Hot(Math.max(1, resident));
            tracked.put(adapter, hot);
        }
        hot.observe(waiting, batch, resident, nowNanos);
        if (hot.target == 1 && resident <= 1 && hot.overSince < 0 && waiting < batch / 4.0) {
            tracked.remove(adapter);
        }
    }

    /** Returns on how many engines the adapter is to be served; 0 if that does not matter. */
    int target(AdapterVersion adapter) {
        Hot hot = tracked.get(adapter);
        return hot == null ? 0 : hot.target;
    }

    boolean isTracked(AdapterVersion adapter) {
        return tracked.containsKey(adapter);
    }

    private static final class Hot {
        private int target;
        private long overSince = -1;
        private long underSince = -1;

        Hot(int target) {
            this.target = target;
        }

        void observe(int waiting, int batch, int resident, long nowNanos) {
            boolean over = waiting > batch * target;
            boolean under = waiting < batch / 4.0;
            overSince = over ? (overSince < 0 ? nowNanos : overSince) : -1;
            underSince = under ? (underSince < 0 ? nowNanos : underSince) : -1;
            // The next replica is added only after the last one has arrived.
            if (over && resident >= target && nowNanos - overSince >= RAISE_NANOS) {
                target++;
                overSince = -1;
            } else if (under && target > 1 && nowNanos - underSince >= LOWER_NANOS) {
                target--;
                underSince = nowNanos;
            }
        }
    }
}
