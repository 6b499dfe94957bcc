package org.bronzehill.core.lease;

import java.util.Set;

/**
 * One epoch in which this instance holds a resource.
 *
 * @param fencing number of the epoch; grows with every change of the holder
 * @param historyKnown whether {@code openIntents} is known to contain every eviction that earlier
 *     holders announced and did not finish; otherwise it may be incomplete
 * @param openIntents handles whose eviction an earlier holder announced and did not finish
 */
public record Lease(String resource, long fencing, boolean historyKnown, Set<String> openIntents) {

    public Lease {
        openIntents = Set.copyOf(openIntents);
    }
}
