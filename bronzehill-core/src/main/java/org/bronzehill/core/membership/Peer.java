package org.bronzehill.core.membership;

import org.bronzehill.core.model.InstanceRef;

/**
 * Another entry instance as seen by this one.
 *
 * @param ref its incarnation is 0 until the first message of the instance has been seen
 */
public record Peer(InstanceRef ref, PeerStatus status) {

    /** Returns the identifier of the instance. */
    public String id() {
        return ref.id();
    }
}
