package org.bronzehill.core.onceonly;

import java.util.List;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.Upstream;

/** View of the instances and application runners for once-only acts and other service calls. */
public interface ClusterView {

    /** Creates a view backed by the membership table and the published instance list. */
    static ClusterView of(Membership membership) {
        return new MembershipClusterView(membership);
    }

    /** Returns the id of this instance. */
    String selfId();

    /** Returns the incarnation of this instance. */
    long selfIncarnation();

    /** Returns the version of the instance list that was read last; 0 before the first read. */
    long listVersion();

    /** Returns the ids of the entry instances that the instance list names in this region. */
    List<String> listedInstances();

    /**
     * Returns the ids of the listed instances that are alive and not leaving, including this one.
     */
    List<String> liveInstances();

    /** Returns the incarnation of an instance that is alive, or 0 if it is not. */
    long liveIncarnation(String instance);

    /** Returns the application runners that offer a service, including leaving ones. */
    List<Upstream> runners(String service);
}
