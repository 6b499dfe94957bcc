package org.bronzehill.core.onceonly;

import java.util.List;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.Upstream;

/** What the once-only protocol needs to know of the fleet. */
public interface ActPeers {

    /** Creates a view taken from the membership table and the published instance list. */
    static ActPeers of(Membership membership) {
        return new MembershipActPeers(membership);
    }

    /** Returns the id of this instance. */
    String selfId();

    /** Returns the incarnation of this instance. */
    long selfIncarnation();

    /** Returns the version of the instance list that was read last; 0 before the first read. */
    long listVersion();

    /** Returns the ids of the published entry instances of this region. */
    List<String> listedInstances();

    /** Returns the ids of the listed instances that are alive and not leaving, with this one. */
    List<String> liveInstances();

    /** Returns the incarnation under which a peer is known to be alive, or 0. */
    long liveIncarnation(String instance);

    /** Returns the application runners that offer a service, also those that are leaving. */
    List<Upstream> runners(String service);
}
