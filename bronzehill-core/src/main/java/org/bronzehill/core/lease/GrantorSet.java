package org.bronzehill.core.lease;

import java.util.List;

/**
 * Instances that decide about one resource, in the order in which they may hold it.
 *
 * @param grantors ids in rendezvous order
 * @param inScope whether this instance may hold the resource, even if it is no grantor
 */
record GrantorSet(String resource, List<String> grantors, boolean inScope) {

    /** Seven grantors tolerate three failures, while the messages of a lease stay bounded. */
    static final int MAX_GRANTORS = 7;

    GrantorSet {
        grantors = List.copyOf(grantors);
    }

    int majority() {
        return grantors.size() / 2 + 1;
    }

    boolean contains(String id) {
        return grantors.contains(id);
    }
}
