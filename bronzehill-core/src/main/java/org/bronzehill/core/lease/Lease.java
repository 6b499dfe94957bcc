package org.bronzehill.core.lease;

import java.util.Set;

/**
 * One epoch in which this instance holds a resource.
 *
 * @param fencing number of the epoch; grows with every change of the holder
 * @param historyKnown whether the grantors know of every eviction that earlier holders announced;
 *     if not, {@code openIntents} may be incomplete
 * @param openIntents handles whose eviction an earlier holder announced and did not finish
 */
public record Lease(String resource, long fencing, boolean historyKnown, Set<String> openIntents) {

    public Lease {
        openIntents = Set.copyOf(openIntents);
    }
}
