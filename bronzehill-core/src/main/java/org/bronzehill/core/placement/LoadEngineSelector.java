package org.bronzehill.core.placement;

import java.util.List;
import java.util.function.Predicate;
import org.bronzehill.config.Policy;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.RendezvousHash;

/**
 * Selects the engine that loads an adapter. If the policy gives more weight to batches than to
 * stalls, only as many engines are open to new adapters as the running requests and the resident
 * adapters need; otherwise all are open. The open engines are the first ones in an order that is
 * the same at all instances. The engine is selected by rendezvous hashing among the open engines
 * that do not have too many requests, or among all engines if there is no such engine.
 */
final class LoadEngineSelector {

    /** Multiple of the mean requests per open engine above which an engine has too many. */
    private static final double MAX_LOAD_RATIO = 1.25;

    /** Share of its batch up to which each open engine is filled before a further one is opened. */
    private static final double TARGET_BATCH_FILL = 0.8;

    /** Factor on the number of resident adapters, which keeps adapter slots free for replicas. */
    private static final double SLOT_HEADROOM_FACTOR = 1.1;

    private LoadEngineSelector() {}

    /**
     * Returns the engine that loads the adapter, or null if no engine is a candidate.
     *
     * @param engines engines of the base model, in the order that is the same at all instances
     */
    static EngineView choose(
            List<EngineView> engines,
            AdapterVersion version,
            Policy policy,
            Predicate<EngineView> isCandidate) {
        long load = 0;
        long running = 0;
        long batchPlaces = 0;
        long adapterSlots = 0;
        long residentAdapters = 0;
        for (EngineView e : engines) {
            load += e.load();
            running += e.running();
            batchPlaces += e.batchSize();
            adapterSlots += e.adapterSlots();
            residentAdapters += e.adapters().size();
        }
        int n = engines.size();
        double needed =
                n
                        * Math.max(
                                running / (TARGET_BATCH_FILL * batchPlaces),
                                SLOT_HEADROOM_FACTOR * (residentAdapters + 1) / adapterSlots);
        int openEngines = countOpenEngines(policy, n, needed);
        double mean = (double) load / Math.max(1, openEngines);
        long key = RendezvousHash.keyHash(version.adapter());
        EngineView selected = null;
        EngineView fallback = null;
        long selectedWeight = 0;
        long fallbackWeight = 0;
        for (int i = 0; i < n; i++) {
            EngineView e = engines.get(i);
            long weight = RendezvousHash.weightOf(key, e.nameHash());
            boolean mayBeSelected =
                    selected == null && fallback == null
                            || weight > fallbackWeight
                            || i < openEngines && (selected == null || weight > selectedWeight);
            if (!mayBeSelected || !isCandidate.test(e)) {
                continue;
            }
            if (fallback == null || weight > fallbackWeight) {
                fallback = e;
                fallbackWeight = weight;
            }
            // Below half a batch, an uneven number of requests does no harm, and selecting the same
            // engine as before avoids a further load of the adapter.
            boolean withinLoadBound =
                    e.load() <= Math.max(MAX_LOAD_RATIO * mean, e.batchSize() / 2.0);
            if (i < openEngines
                    && withinLoadBound
                    && (selected == null || weight > selectedWeight)) {
                selected = e;
                selectedWeight = weight;
            }
        }
        return selected == null ? fallback : selected;
    }

    /** Returns the number of engines that are open to new adapters. */
    private static int countOpenEngines(Policy policy, int engines, double needed) {
        return policy.batchWeight() <= policy.loadStallWeight()
                ? engines
                : (int) Math.ceil(Math.min(engines, Math.max(1, needed)));
    }
}
