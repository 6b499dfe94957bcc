package org.bronzehill.config;

import java.util.Map;
import java.util.Set;

/**
 * A member: a customer organisation that owns a share of the service.
 *
 * @param share share of the service relative to the other members
 * @param kinds kinds of request that the member may send
 * @param groups adapter groups that the member may use
 * @param callers caller names by the SHA-256 (lower-case hex) of their bearer token
 */
public record TeamSpec(
        String name,
        double share,
        Set<String> kinds,
        Set<String> groups,
        Map<String, String> callers) {

    public TeamSpec {
        kinds = Set.copyOf(kinds);
        groups = Set.copyOf(groups);
        callers = Map.copyOf(callers);
    }
}
