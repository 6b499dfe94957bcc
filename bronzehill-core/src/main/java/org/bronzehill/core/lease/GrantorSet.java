package org.bronzehill.core.lease;

import java.util.List;

/**
 * The instances that grant the lease on one resource. They are also its candidates, in order of
 * preference.
 *
 * @param grantors ids in rendezvous order
 * @param inScope whether this instance is in the resource's ownership scope, so that it may keep
 *     the lease even when it is not a grantor
 */
record GrantorSet(String resource, List<String> grantors, boolean inScope) {

    /** Seven grantors tolerate three failures and bound the number of messages per lease. */
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
