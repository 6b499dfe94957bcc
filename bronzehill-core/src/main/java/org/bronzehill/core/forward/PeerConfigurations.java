package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.protocol.generated.Envelope;

/** Versions of the configuration that the other instances state in their messages. */
final class PeerConfigurations {

    private record Stated(long incarnation, long version) {}

    private final Membership membership;
    private final Map<String, Stated> byInstance = new HashMap<>();

    PeerConfigurations(Membership membership) {
        this.membership = membership;
    }

    /** Records the version that a message states; 0 if its sender has not read any. */
    void onMessage(Envelope envelope) {
        Stated stated =
                new Stated(envelope.getFromIncarnation(), envelope.getConfigurationNumber());
        Stated known = byInstance.get(envelope.getFrom());
        // Messages may overtake each other.
        boolean newer =
                known == null
                        || stated.incarnation() > known.incarnation()
                        || (stated.incarnation() == known.incarnation()
                                && stated.version() > known.version());
        if (newer) {
            byInstance.put(envelope.getFrom(), stated);
        }
    }

    /** Returns whether an instance has stated a version, or a newer one. */
    boolean has(Peer peer, long version) {
        return Option.of(byInstance.get(peer.id()))
                .exists(s -> s.incarnation() == peer.ref().incarnation() && s.version() >= version);
    }

    /** Removes instances that are no longer members. */
    void onTick() {
        byInstance.keySet().removeIf(id -> membership.peer(id).isEmpty());
    }
}
