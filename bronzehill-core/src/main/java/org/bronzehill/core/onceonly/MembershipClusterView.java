package org.bronzehill.core.onceonly;

import java.util.List;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;

/** View backed by the membership table and the published instance list. */
final class MembershipClusterView implements ClusterView {

    private final Membership membership;

    MembershipClusterView(Membership membership) {
        this.membership = membership;
    }

    @Override
    public String selfId() {
        return membership.self().id();
    }

    @Override
    public long selfIncarnation() {
        return membership.self().incarnation();
    }

    @Override
    public long listVersion() {
        return membership.list().version();
    }

    @Override
    public List<String> listedInstances() {
        return membership.list().instances().stream()
                .filter(i -> i.ref().region().equals(membership.self().region()))
                .map(i -> i.ref().id())
                .sorted()
                .toList();
    }

    @Override
    public List<String> liveInstances() {
        List<String> listed = listedInstances();
        return membership.live().stream().map(InstanceRef::id).filter(listed::contains).toList();
    }

    @Override
    public long liveIncarnation(String instance) {
        if (instance.equals(selfId())) {
            return selfIncarnation();
        }
        return membership
                .peer(instance)
                .filter(p -> p.status().isLive())
                .map(p -> p.ref().incarnation())
                .getOrElse(0L);
    }

    @Override
    public List<Upstream> runners(String service) {
        return membership.list().upstreams().stream()
                .filter(u -> u.kind() == UpstreamKind.APPLICATION_RUNNER)
                .filter(u -> u.services().contains(service))
                .filter(u -> u.region().equals(membership.self().region()))
                .toList();
    }
}
