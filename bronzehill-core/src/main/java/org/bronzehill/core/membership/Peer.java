package org.bronzehill.core.membership;

import org.bronzehill.core.model.InstanceRef;

/**
 * Another entry instance as seen by this instance.
 *
 * @param ref identity and address; the incarnation is 0 as long as neither the instance list nor a
 *     message has named it
 */
public record Peer(InstanceRef ref, PeerStatus status) {

    /** Returns the identifier of the instance. */
    public String id() {
        return ref.id();
    }
}
