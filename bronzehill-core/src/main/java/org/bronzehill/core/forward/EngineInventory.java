package org.bronzehill.core.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.bronzehill.protocol.generated.AdapterPlace;
import org.bronzehill.protocol.generated.OrderedUpstream;

/** What an engine holds, as messages between instances state it. */
final class EngineInventory {

    private EngineInventory() {}

    /** Returns a claim without what the engine holds. */
    static OrderedUpstream claimOnly(String upstream, long fencing) {
        return OrderedUpstream.newBuilder().setUpstream(upstream).setFencing(fencing).build();
    }

    /** Returns a claim and all that the engine holds. */
    static OrderedUpstream complete(UpstreamState u, long fencing) {
        OrderedUpstream.Builder b = claimOnly(u.id(), fencing).toBuilder();
        b.setStartedAtMs(u.upstream().startedAtMs()).addAllModels(u.models()).setComplete(true);
        u.adapters(false).forEach((a, v) -> b.addPlaces(toMessage(a, v, false)));
        u.adapters(true).forEach((a, v) -> b.addPlaces(toMessage(a, v, true)));
        return b.build();
    }

    private static AdapterPlace toMessage(AdapterRef adapter, int version, boolean loading) {
        return AdapterPlace.newBuilder()
                .setAdapter(adapter.key())
                .setVersion(version)
                .setLoading(loading)
                .build();
    }

    /** Takes over what the engine holds, if the message states that of its present run. */
    static void apply(UpstreamState u, OrderedUpstream ordered) {
        if (!ordered.getComplete() || u.upstream().startedAtMs() != ordered.getStartedAtMs()) {
            return;
        }
        Map<AdapterRef, Integer> resident = new HashMap<>();
        Map<AdapterRef, Integer> loading = new HashMap<>();
        for (AdapterPlace p : ordered.getPlacesList()) {
            AdapterRef.parse(p.getAdapter())
                    .forEach(a -> (p.getLoading() ? loading : resident).put(a, p.getVersion()));
        }
        u.setModels(Set.copyOf(ordered.getModelsList()));
        u.setAdapters(resident, loading);
        u.setInventoryFencing(ordered.getFencing());
    }

    /** Returns the fencing numbers of claims by upstream. */
    static Map<String, Long> fencingByUpstream(Collection<OrderedUpstream> claims) {
        Map<String, Long> fencing = new HashMap<>();
        claims.forEach(c -> fencing.put(c.getUpstream(), c.getFencing()));
        return fencing;
    }
}
