package org.bronzehill.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;

/** The grantors of every resource of the region, computed from the published instance list. */
final class GrantorIndex {

    private final InstanceRef self;
    private Map<String, GrantorSet> grantorSets = Map.of();

    /** Instance ids by scope, which is a data centre or, for the whole region, the empty string. */
    private Map<String, List<String>> instancesByScope = Map.of();

    private Map<String, String> scopeByResource = Map.of();

    GrantorIndex(InstanceRef self) {
        this.self = self;
    }

    GrantorSet grantorsOf(String resource) {
        return grantorSets.get(resource);
    }

    Map<String, GrantorSet> grantorSets() {
        return grantorSets;
    }

    /**
     * Recomputes the grantors of all resources that have another scope, or whose scope has other
     * instances than before.
     */
    void rebuild(InstanceList list, OwnershipScope ownership) {
        Map<String, List<String>> nextInstancesByScope = new HashMap<>();
        for (ListedInstance i : list.instances()) {
            if (i.ref().region().equals(self.region())) {
                add(nextInstancesByScope, "", i.ref().id());
                add(nextInstancesByScope, i.ref().dataCentre(), i.ref().id());
            }
        }
        nextInstancesByScope.values().forEach(ids -> ids.sort(null));
        Map<String, String> nextScopeByResource = new HashMap<>();
        nextScopeByResource.put(Resources.store(self.region()), "");
        for (Upstream u : list.upstreams()) {
            if (u.kind() == UpstreamKind.ENGINE && u.region().equals(self.region())) {
                boolean regionWide = ownership == OwnershipScope.REGION;
                nextScopeByResource.put(Resources.engine(u.id()), regionWide ? "" : u.dataCentre());
            }
        }
        Map<String, GrantorSet> next = new HashMap<>();
        nextScopeByResource.forEach(
                (resource, scope) ->
                        next.put(resource, grantorSet(resource, scope, nextInstancesByScope)));
        grantorSets = next;
        instancesByScope = nextInstancesByScope;
        scopeByResource = nextScopeByResource;
    }

    private static void add(Map<String, List<String>> scopes, String scope, String id) {
        scopes.computeIfAbsent(scope, k -> new ArrayList<>()).add(id);
    }

    private GrantorSet grantorSet(
            String resource, String scope, Map<String, List<String>> nextInstancesByScope) {
        List<String> ids = nextInstancesByScope.getOrDefault(scope, List.of());
        if (scope.equals(scopeByResource.get(resource))
                && ids.equals(instancesByScope.get(scope))) {
            return grantorSets.get(resource);
        }
        List<String> ranked = RendezvousHash.rank(resource, ids, id -> id);
        return new GrantorSet(
                resource,
                ranked.subList(0, Math.min(GrantorSet.MAX_GRANTORS, ranked.size())),
                ids.contains(self.id()));
    }
}
