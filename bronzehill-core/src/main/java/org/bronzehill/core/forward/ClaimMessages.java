package org.bronzehill.core.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.bronzehill.protocol.generated.AdapterPlace;
import org.bronzehill.protocol.generated.OrderedUpstream;

/**
 * Builds and applies messages about the claim on an engine. A message may contain the inventory of
 * the engine: its base models, and the adapters that it holds or loads.
 */
final class ClaimMessages {

    private ClaimMessages() {}

    /** Returns a claim without the inventory. */
    static OrderedUpstream claimOnly(String upstream, long fencing) {
        return OrderedUpstream.newBuilder().setUpstream(upstream).setFencing(fencing).build();
    }

    /** Returns a claim with the number of idle slots, if that is known, but without inventory. */
    static OrderedUpstream withIdleSlots(UpstreamState u, long fencing) {
        OrderedUpstream.Builder b = claimOnly(u.id(), fencing).toBuilder();
        if (u.idleSlots().isKnown()) {
            b.setStartedAtMs(u.upstreamRecord().startedAtMs()).setIdleSlots(u.idleSlots().count());
        }
        return b.build();
    }

    /** Returns a claim with the complete inventory. */
    static OrderedUpstream complete(UpstreamState u, long fencing) {
        OrderedUpstream.Builder b = withIdleSlots(u, fencing).toBuilder();
        b.setStartedAtMs(u.upstreamRecord().startedAtMs())
                .addAllModels(u.models())
                .setComplete(true);
        u.adapters(false).forEach((a, v) -> b.addPlaces(toMessage(a, v, false)));
        u.adapters(true).forEach((a, v) -> b.addPlaces(toMessage(a, v, true)));
        return b.build();
    }

    /** Returns a claim with the changes of the inventory since an earlier message about it. */
    static OrderedUpstream changes(UpstreamState u, long fencing, SentInventory earlier) {
        OrderedUpstream.Builder b = withIdleSlots(u, fencing).toBuilder();
        b.setStartedAtMs(u.upstreamRecord().startedAtMs());
        addChanged(u.adapters(false), earlier.resident(), false, b);
        addChanged(u.adapters(true), earlier.loading(), true, b);
        Stream.concat(earlier.resident().keySet().stream(), earlier.loading().keySet().stream())
                .filter(a -> !u.adapters(false).containsKey(a) && !u.adapters(true).containsKey(a))
                .distinct()
                .forEach(a -> b.addRemoved(a.key()));
        return b.build();
    }

    private static void addChanged(
            Map<AdapterRef, Integer> now,
            Map<AdapterRef, Integer> earlier,
            boolean loading,
            OrderedUpstream.Builder into) {
        now.forEach(
                (a, v) -> {
                    if (!v.equals(earlier.get(a))) {
                        into.addPlaces(toMessage(a, v, loading));
                    }
                });
    }

    private static AdapterPlace toMessage(AdapterRef adapter, int version, boolean loading) {
        return AdapterPlace.newBuilder()
                .setAdapter(adapter.key())
                .setVersion(version)
                .setLoading(loading)
                .build();
    }

    /**
     * Applies the idle slots and the inventory, or its changes if the complete inventory under the
     * same claim is known. Messages about another incarnation of the engine are ignored.
     */
    static void apply(UpstreamState u, OrderedUpstream ordered) {
        if (u.upstreamRecord().startedAtMs() != ordered.getStartedAtMs()) {
            return;
        }
        if (ordered.hasIdleSlots()) {
            u.idleSlots().set(ordered.getIdleSlots());
        }
        boolean complete = ordered.getComplete();
        if (!complete && u.inventoryFencing() != ordered.getFencing()) {
            return;
        }
        Map<AdapterRef, Integer> resident = new HashMap<>(complete ? Map.of() : u.adapters(false));
        Map<AdapterRef, Integer> loading = new HashMap<>(complete ? Map.of() : u.adapters(true));
        for (String removed : ordered.getRemovedList()) {
            AdapterRef.parse(removed).forEach(resident::remove);
            AdapterRef.parse(removed).forEach(loading::remove);
        }
        for (AdapterPlace p : ordered.getPlacesList()) {
            AdapterRef.parse(p.getAdapter())
                    .forEach(
                            a -> {
                                (p.getLoading() ? resident : loading).remove(a);
                                (p.getLoading() ? loading : resident).put(a, p.getVersion());
                            });
        }
        if (complete) {
            u.setModels(Set.copyOf(ordered.getModelsList()));
        }
        u.setAdapters(resident, loading);
        u.setInventoryFencing(ordered.getFencing());
    }

    static Map<String, Long> fencingByUpstream(Collection<OrderedUpstream> claims) {
        Map<String, Long> fencing = new HashMap<>();
        claims.forEach(c -> fencing.put(c.getUpstream(), c.getFencing()));
        return fencing;
    }
}
