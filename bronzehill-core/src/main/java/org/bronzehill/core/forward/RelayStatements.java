package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.RelayState;

/** Valid statements of the other instances about the relayed requests that they serve. */
final class RelayStatements {

    private final Membership membership;
    private final TimeSource time;
    private final Map<String, RelayStatement> byInstance = new HashMap<>();

    RelayStatements(Membership membership, TimeSource time) {
        this.membership = membership;
        this.time = time;
    }

    /**
     * Applies a statement. Those of unknown instances, of earlier incarnations and of earlier
     * versions are ignored.
     *
     * @return whether the sender is isolated and was not known to be
     */
    boolean apply(String from, long incarnation, RelayState message) {
        Option<Peer> peer = membership.peer(from);
        if (peer.isEmpty() || incarnation < peer.get().ref().incarnation()) {
            return false;
        }
        RelayStatement known = byInstance.get(from);
        boolean outdated =
                known != null
                        && (incarnation < known.incarnation()
                                || (incarnation == known.incarnation()
                                        && message.getVersion() < known.version()));
        if (outdated) {
            return false;
        }
        boolean wasIsolated = of(from).exists(RelayStatement::isolated);
        byInstance.put(from, RelayStatement.of(incarnation, message, time.nanoTime()));
        return message.getIsolated() && !wasIsolated;
    }

    /** Returns the statement of an instance; empty if it has made none that is still valid. */
    Option<RelayStatement> of(String instance) {
        Option<Peer> peer = membership.peer(instance);
        return Option.of(byInstance.get(instance))
                .filter(s -> s.isValid(time.nanoTime()))
                .filter(s -> peer.exists(p -> p.ref().incarnation() <= s.incarnation()));
    }

    /** Returns the number of other instances that are isolated. */
    int isolated() {
        return (int)
                byInstance.keySet().stream()
                        .filter(i -> of(i).exists(RelayStatement::isolated))
                        .count();
    }

    /** Removes statements that have expired. */
    void onTick() {
        long now = time.nanoTime();
        byInstance.values().removeIf(s -> !s.isValid(now));
    }
}
