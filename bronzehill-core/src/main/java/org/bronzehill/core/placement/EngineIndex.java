package org.bronzehill.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.placement.EngineView.Residency;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.ResidentAdapter;

/** Index of the engines of a region by id, by base model and by resident adapter version. */
final class EngineIndex {

    private final Map<String, EngineView> engines = new HashMap<>();
    private final Map<String, List<EngineView>> byModel = new HashMap<>();
    private final Map<AdapterVersion, List<EngineView>> byAdapterVersion = new HashMap<>();
    private final ReplicaTracker replicas = new ReplicaTracker();
    private int pendingLoads;

    /** Replaces the set of engines by those that the instance list names in the region. */
    void onInstanceList(InstanceList list, String region) {
        Map<String, Upstream> listed = new HashMap<>();
        for (Upstream u : list.upstreams()) {
            if (u.kind() == UpstreamKind.ENGINE && u.region().equals(region)) {
                listed.put(u.id(), u);
            }
        }
        engines.values()
                .removeIf(
                        e -> {
                            boolean gone = !listed.containsKey(e.id());
                            if (gone) {
                                unindex(e);
                            }
                            return gone;
                        });
        byModel.clear();
        for (Upstream u : listed.values()) {
            EngineView e = engines.computeIfAbsent(u.id(), i -> new EngineView(u));
            e.updateUpstream(u);
            byModel.computeIfAbsent(e.baseModel(), m -> new ArrayList<>()).add(e);
        }
        byModel.forEach(EngineIndex::sort);
    }

    private static void sort(String model, List<EngineView> engines) {
        long key = RendezvousHash.keyHash(model);
        engines.sort(
                Comparator.comparingLong(
                                (EngineView e) -> RendezvousHash.weightOf(key, e.nameHash()))
                        .thenComparing(EngineView::id));
    }

    /** Updates the index from a summary; outdated summaries and unlisted engines are ignored. */
    void onSummary(EngineSummary summary, long nowNanos) {
        EngineView e = engines.get(summary.getEngine());
        if (e == null || e.isOutdated(summary)) {
            return;
        }
        Map<AdapterVersion, Residency> old = e.adapters();
        Map<AdapterVersion, Residency> adapters =
                new HashMap<>(summary.getAdaptersCount() * 4 / 3 + 1);
        for (ResidentAdapter a : summary.getAdaptersList()) {
            AdapterVersion version = new AdapterVersion(a.getAdapter(), a.getVersion());
            adapters.put(version, new Residency(a.getLoading(), a.getWaiting()));
            if (!old.containsKey(version)) {
                byAdapterVersion.computeIfAbsent(version, v -> new ArrayList<>(2)).add(e);
            }
        }
        for (AdapterVersion version : old.keySet()) {
            if (!adapters.containsKey(version)) {
                unindex(version, e);
            }
        }
        pendingLoads -= e.pendingLoads();
        e.update(summary, adapters, nowNanos);
        pendingLoads += e.pendingLoads();
        for (Map.Entry<AdapterVersion, Residency> a : adapters.entrySet()) {
            if (a.getValue().waiting() > e.batchSize() / 4 || replicas.isTracked(a.getKey())) {
                observe(a.getKey(), e.batchSize(), nowNanos);
            }
        }
    }

    private void observe(AdapterVersion version, int batchSize, long nowNanos) {
        int waiting = 0;
        int resident = 0;
        for (EngineView e : withAdapter(version)) {
            Residency r = e.adapters().get(version);
            waiting += r.waiting();
            resident += r.loading() ? 0 : 1;
        }
        replicas.observe(version, waiting, batchSize, resident, nowNanos);
    }

    private void unindex(EngineView e) {
        pendingLoads -= e.pendingLoads();
        e.adapters().keySet().forEach(v -> unindex(v, e));
    }

    private void unindex(AdapterVersion version, EngineView e) {
        List<EngineView> list = byAdapterVersion.get(version);
        if (list != null) {
            list.remove(e);
            if (list.isEmpty()) {
                byAdapterVersion.remove(version);
            }
        }
    }

    /** Returns the engine, or null. */
    EngineView engine(String id) {
        return engines.get(id);
    }

    /** Returns the engines on which the adapter version is resident or being loaded. */
    List<EngineView> withAdapter(AdapterVersion version) {
        return byAdapterVersion.getOrDefault(version, List.of());
    }

    /** Returns the engines with the base model, in an order that is the same at all instances. */
    List<EngineView> ofModel(String baseModel) {
        return byModel.getOrDefault(baseModel, List.of());
    }

    /** Returns the number of adapter loads in progress or queued in the region. */
    int pendingLoads() {
        return pendingLoads;
    }

    ReplicaTracker replicas() {
        return replicas;
    }
}
