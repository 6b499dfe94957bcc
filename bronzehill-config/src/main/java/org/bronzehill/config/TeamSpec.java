package org.bronzehill.config;

import java.util.Map;
import java.util.Set;

/**
 * A team that uses the service, declared under {@code members}.
 *
 * @param share share of the service, relative to the shares of other teams
 * @param kinds kinds of request that the team may send
 * @param groups adapter groups that the team may use
 * @param callers caller names, by the SHA-256 hash of their bearer token in lower-case hex
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
