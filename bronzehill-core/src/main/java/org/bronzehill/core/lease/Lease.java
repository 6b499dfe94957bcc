package org.bronzehill.core.lease;

import java.util.Set;

/**
 * One epoch in which this instance holds a resource.
 *
 * @param fencing number of the epoch; higher than that of every earlier epoch, also of the same
 *     holder
 * @param historyKnown whether {@code openIntents} is known to contain every eviction that earlier
 *     holders announced and did not finish; otherwise it may be incomplete
 * @param openIntents handles whose eviction an earlier holder announced and did not finish
 */
public record Lease(String resource, long fencing, boolean historyKnown, Set<String> openIntents) {

    public Lease {
        openIntents = Set.copyOf(openIntents);
    }
}
