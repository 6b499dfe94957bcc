package org.bronzehill.core.placement;

import java.util.List;
import java.util.function.Predicate;
import org.bronzehill.config.Policy;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.RendezvousHash;

/**
 * Chooses the engine on which an adapter is loaded: its rendezvous home by bounded load. If the
 * policy gives more weight to batches than to stalls, only as many engines are considered as the
 * load and the resident adapters need, in an order that all instances agree on.
 */
final class HomeChoice {

    /** An engine is skipped as home above this multiple of the mean load. */
    private static final double LOAD_BOUND = 1.25;

    /** Share of a batch up to which engines are filled before a further one is considered. */
    private static final double FILL = 0.8;

    /** Slots kept free for adapters that become hot. */
    private static final double SLOT_HEADROOM = 1.1;

    private HomeChoice() {}

    /**
     * Returns the home of an adapter, or null.
     *
     * @param engines engines of the base model in the agreed order
     */
    static EngineView choose(
            List<EngineView> engines,
            AdapterVersion version,
            Policy policy,
            Predicate<EngineView> candidate) {
        long load = 0;
        long running = 0;
        long batch = 0;
        long slots = 0;
        long adapters = 0;
        for (EngineView e : engines) {
            load += e.load();
            running += e.running();
            batch += e.batch();
            slots += e.slots();
            adapters += e.adapters().size();
        }
        int n = engines.size();
        double needed =
                n * Math.max(running / (FILL * batch), SLOT_HEADROOM * (adapters + 1) / slots);
        int open = open(policy, n, needed);
        double mean = (double) load / Math.max(1, open);
        long key = RendezvousHash.keyHash(version.adapter());
        EngineView home = null;
        EngineView any = null;
        long homeWeight = 0;
        long anyWeight = 0;
        for (int i = 0; i < n; i++) {
            EngineView e = engines.get(i);
            long weight = RendezvousHash.weightOf(key, e.nameHash());
            boolean heavier =
                    home == null && any == null
                            || weight > anyWeight
                            || i < open && (home == null || weight > homeWeight);
            if (!heavier || !candidate.test(e)) {
                continue;
            }
            if (any == null || weight > anyWeight) {
                any = e;
                anyWeight = weight;
            }
            // Below half a batch a skewed load does no harm, and a fixed home saves loads.
            boolean bounded = e.load() <= Math.max(LOAD_BOUND * mean, e.batch() / 2.0);
            if (i < open && bounded && (home == null || weight > homeWeight)) {
                home = e;
                homeWeight = weight;
            }
        }
        return home == null ? any : home;
    }

    /** Returns how many engines are open to new adapters. */
    private static int open(Policy policy, int engines, double needed) {
        return policy.batchWeight() <= policy.loadStallWeight()
                ? engines
                : (int) Math.ceil(Math.min(engines, Math.max(1, needed)));
    }
}
