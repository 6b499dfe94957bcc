package org.bronzehill.core.placement;

import java.util.Set;

/**
 * A request as the router sees it.
 *
 * @param excluded engines that earlier attempts used
 * @param preferred engine named by a redirect; empty if there is none
 */
public record RouteQuery(
        String adapter, String kind, long prefixHash, Set<String> excluded, String preferred) {

    public RouteQuery {
        excluded = Set.copyOf(excluded);
    }

    /** Returns the query of a first attempt. */
    public static RouteQuery of(String adapter, String kind, long prefixHash) {
        return new RouteQuery(adapter, kind, prefixHash, Set.of(), "");
    }
}
