package org.bronzehill.core.placement;

import java.util.Set;

/**
 * The properties of a request that determine its route.
 *
 * @param kind kind of request, by its name in the configuration
 * @param excluded engines that earlier attempts used
 * @param preferred engine named by a redirect; empty if there is none
 * @param residentOnly whether only engines on which the adapter is resident or being loaded may be
 *     chosen; true for a hedge, which does not justify a load
 */
public record RouteQuery(
        String adapter,
        String kind,
        long prefixHash,
        Set<String> excluded,
        String preferred,
        boolean residentOnly) {

    public RouteQuery {
        excluded = Set.copyOf(excluded);
    }

    /** Creates the query of an attempt that may load the adapter. */
    public RouteQuery(
            String adapter, String kind, long prefixHash, Set<String> excluded, String preferred) {
        this(adapter, kind, prefixHash, excluded, preferred, false);
    }

    /** Returns the query of a first attempt. */
    public static RouteQuery of(String adapter, String kind, long prefixHash) {
        return new RouteQuery(adapter, kind, prefixHash, Set.of(), "");
    }

    /** Returns the query of a hedge in addition to the attempts at the {@code excluded} engines. */
    public static RouteQuery forHedge(
            String adapter, String kind, long prefixHash, Set<String> excluded) {
        return new RouteQuery(adapter, kind, prefixHash, excluded, "", true);
    }
}
