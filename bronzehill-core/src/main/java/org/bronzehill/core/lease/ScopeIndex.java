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

/** Grantors of every resource of the region, from the published instance list. */
final class ScopeIndex {

    private final InstanceRef self;
    private Map<String, GrantorSet> sets = Map.of();
    private Map<String, List<String>> scopes = Map.of();
    private Map<String, String> scopeOf = Map.of();

    ScopeIndex(InstanceRef self) {
        this.self = self;
    }

    GrantorSet of(String resource) {
        return sets.get(resource);
    }

    Map<String, GrantorSet> sets() {
        return sets;
    }

    /** Recomputes the grantors; resources whose scope has the same instances keep theirs. */
    void rebuild(InstanceList list, OwnershipScope ownership) {
        Map<String, List<String>> nextScopes = new HashMap<>();
        for (ListedInstance i : list.instances()) {
            if (i.ref().region().equals(self.region())) {
                add(nextScopes, "", i.ref().id());
                add(nextScopes, i.ref().dataCentre(), i.ref().id());
            }
        }
        nextScopes.values().forEach(ids -> ids.sort(null));
        Map<String, String> wanted = new HashMap<>();
        wanted.put(Resources.store(self.region()), "");
        for (Upstream u : list.upstreams()) {
            if (u.kind() == UpstreamKind.ENGINE && u.region().equals(self.region())) {
                boolean wide = ownership == OwnershipScope.REGION;
                wanted.put(Resources.engine(u.id()), wide ? "" : u.dataCentre());
            }
        }
        Map<String, GrantorSet> next = new HashMap<>();
        wanted.forEach((resource, scope) -> next.put(resource, set(resource, scope, nextScopes)));
        sets = next;
        scopes = nextScopes;
        scopeOf = wanted;
    }

    private static void add(Map<String, List<String>> scopes, String scope, String id) {
        scopes.computeIfAbsent(scope, k -> new ArrayList<>()).add(id);
    }

    private GrantorSet set(String resource, String scope, Map<String, List<String>> nextScopes) {
        List<String> ids = nextScopes.getOrDefault(scope, List.of());
        if (scope.equals(scopeOf.get(resource)) && ids.equals(scopes.get(scope))) {
            return sets.get(resource);
        }
        List<String> ranked = RendezvousHash.rank(resource, ids, id -> id);
        return new GrantorSet(
                resource,
                ranked.subList(0, Math.min(GrantorSet.MAX_GRANTORS, ranked.size())),
                ids.contains(self.id()));
    }
}
