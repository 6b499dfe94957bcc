package org.bronzehill.core.membership;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;

/** Table of the entry instances, seeded by the published instance list. */
public final class Membership {

    private final InstanceRef self;
    private final Map<String, Peer> peers = new TreeMap<>();
    private InstanceList list = InstanceList.EMPTY;

    private Membership(InstanceRef self) {
        this.self = self;
    }

    /** Creates a table that knows only the instance itself. */
    public static Membership create(InstanceRef self, TimeSource time, RandomGenerator random) {
        return new Membership(self);
    }

    /** Sends the probes that are due and advances suspicions. */
    public void onTick(Effects out) {}

    /** Takes over a version of the published instance list; older versions are ignored. */
    public void onInstanceList(InstanceList read, Effects out) {
        if (read.version() < list.version()) {
            return;
        }
        list = read;
        peers.clear();
        for (ListedInstance i : read.instances()) {
            if (!i.ref().id().equals(self.id())) {
                PeerStatus s =
                        i.state() == ListedState.LEAVING ? PeerStatus.LEAVING : PeerStatus.ALIVE;
                peers.put(i.ref().id(), new Peer(i.ref(), s));
            }
        }
    }

    /** Handles Ping, Ack, PingRequest and Leaving. */
    public void onMessage(Envelope envelope, Effects out) {}

    /** Notes that a message to the instance could not be written. */
    public void onUnreachable(String instance, Effects out) {}

    /** Announces the planned stop of this instance to all peers. */
    public void leave(Effects out) {}

    /** Returns the other instances, ordered by id. */
    public List<Peer> peers() {
        return List.copyOf(peers.values());
    }

    /** Returns another instance. */
    public Option<Peer> peer(String id) {
        return Option.of(peers.get(id));
    }

    /**
     * Returns the instances that may be given new work, ordered by id: those that are ALIVE or
     * SLOW, and this instance unless it is leaving.
     */
    public List<InstanceRef> live() {
        List<InstanceRef> live = new ArrayList<>();
        live.add(self);
        peers.values().stream().filter(p -> p.status().isLive()).forEach(p -> live.add(p.ref()));
        return live;
    }

    /** Returns the published instance list read last. */
    public InstanceList list() {
        return list;
    }

    /** Returns this instance. */
    public InstanceRef self() {
        return self;
    }
}
