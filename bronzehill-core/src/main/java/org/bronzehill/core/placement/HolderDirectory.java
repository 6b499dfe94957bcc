package org.bronzehill.core.placement;

import io.vavr.control.Option;
import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.PeerStatus;

/** Membership and lease information used by the router. */
public interface HolderDirectory {

    /** Returns the known holder of the engine's lease, or else the first live candidate for it. */
    Option<String> holderOf(String engine);

    /** Returns whether a message can be sent to the instance. */
    boolean isReachable(String instance);

    /**
     * Returns whether the membership status of the instance is other than ALIVE, for example
     * because it answers late. Engines whose lease it holds get a worse score.
     */
    boolean isImpaired(String instance);

    /** Returns the region of this instance. */
    String region();

    /** Creates a directory backed by the membership table and the lease manager. */
    static HolderDirectory of(Membership membership, LeaseManager leases) {
        return new HolderDirectory() {
            @Override
            public Option<String> holderOf(String engine) {
                return leases.holderOf(Resources.engine(engine));
            }

            @Override
            public boolean isReachable(String instance) {
                return instance.equals(membership.self().id())
                        || membership
                                .peer(instance)
                                .exists(
                                        p ->
                                                p.status().isLive()
                                                        || p.status() == PeerStatus.LEAVING);
            }

            @Override
            public boolean isImpaired(String instance) {
                return membership.peer(instance).exists(p -> p.status() != PeerStatus.ALIVE);
            }

            @Override
            public String region() {
                return membership.self().region();
            }
        };
    }
}
