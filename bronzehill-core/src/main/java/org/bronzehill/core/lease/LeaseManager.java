package org.bronzehill.core.lease;

import io.vavr.control.Option;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.HolderHandover;

/** Obtains, keeps and grants the leases on engines and budgets. */
public final class LeaseManager {

    private final Membership membership;
    private final TimeSource time;
    private final LeaseListener listener;
    private final Map<String, Lease> held = new TreeMap<>();

    private LeaseManager(Membership membership, TimeSource time, LeaseListener listener) {
        this.membership = membership;
        this.time = time;
        this.listener = listener;
    }

    /** Creates a manager that holds and grants nothing yet. */
    public static LeaseManager create(
            Membership membership,
            Supplier<Configuration> configuration,
            TimeSource time,
            LeaseListener listener) {
        return new LeaseManager(membership, time, listener);
    }

    /** Renews leases, obtains free ones and reports expired ones. */
    public void onTick(Effects out) {
        if (membership.list().instances().size() != 1) {
            return;
        }
        acquire(Resources.store(membership.self().region()), out);
        for (Upstream u : membership.list().upstreams()) {
            if (u.kind() == UpstreamKind.ENGINE) {
                acquire(Resources.engine(u.id()), out);
            }
        }
    }

    private void acquire(String resource, Effects out) {
        if (!held.containsKey(resource)) {
            Lease lease = new Lease(resource, time.instant().toEpochMilli() << 8, false, Set.of());
            held.put(resource, lease);
            listener.acquired(lease, Option.none(), out);
        }
    }

    /**
     * Handles LeaseRequest, LeaseReply, LeaseRelease, IntentRequest, IntentReply, HolderHandover.
     */
    public void onMessage(Envelope envelope, Effects out) {}

    /** Follows a change of the published instance list; called after the membership's method. */
    public void onInstanceList(InstanceList list, Effects out) {}

    /** Returns whether this instance holds the resource at this moment. */
    public boolean holds(String resource) {
        return held.containsKey(resource);
    }

    /** Returns the lease on the resource if this instance holds it. */
    public Option<Lease> lease(String resource) {
        return Option.of(held.get(resource));
    }

    /** Returns the instance believed to hold the resource. */
    public Option<String> holderOf(String resource) {
        if (holds(resource)) {
            return Option.some(membership.self().id());
        }
        return Option.ofOptional(
                RendezvousHash.rank(resource, membership.live(), i -> i.id()).stream()
                        .map(i -> i.id())
                        .findFirst());
    }

    /** Asks the grantors to record that {@code handle} is about to be evicted. */
    public void announceIntent(String resource, String handle, Effects out) {
        listener.intentAcknowledged(resource, handle, out);
    }

    /** Tells the grantors that the eviction of {@code handle} has finished or was given up. */
    public void finishIntent(String resource, String handle, Effects out) {}

    /** Notes a fencing number that the engine behind the resource has reported. */
    public void observeFencing(String resource, long fencing) {}

    /** Drops all leases at once, after a pause. */
    public void dropAll(Effects out) {
        Set<String> resources = Set.copyOf(held.keySet());
        held.clear();
        resources.forEach(r -> listener.lost(r, out));
    }

    /** Gives the resource up at a planned stop and sends its state to the next candidate. */
    public void release(String resource, HolderHandover handover, Effects out) {
        held.remove(resource);
    }
}
