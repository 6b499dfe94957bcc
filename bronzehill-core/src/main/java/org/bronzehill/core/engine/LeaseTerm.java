package org.bronzehill.core.engine;

import java.util.Set;

/**
 * One epoch in which this instance holds an engine's lease.
 *
 * @param resource {@code engine/<id>}
 * @param fencing fencing number of the epoch
 * @param historyKnown whether the grantors knew all open intents of the previous holder
 * @param openIntents handles whose eviction an earlier holder announced and did not finish
 */
public record LeaseTerm(
        String resource, long fencing, boolean historyKnown, Set<String> openIntents) {

    public LeaseTerm {
        openIntents = Set.copyOf(openIntents);
    }
}
