package org.bronzehill.core.engine;

import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.node.Effects;

/** Operations of the lease manager that a scheduler uses. */
public interface LeaseOperations {

    /** Returns whether this instance holds the lease of the resource now. */
    boolean holds(String resource);

    /** Requests the grantors to record that the handle is about to be evicted. */
    void announceIntent(String resource, String handle, Effects out);

    /** Informs the grantors that the handle is no longer on the engine. */
    void finishIntent(String resource, String handle, Effects out);

    /** Records a fencing number that the engine reported. */
    void observeFencing(String resource, long fencing);

    /** Returns an implementation that delegates to a lease manager. */
    static LeaseOperations of(LeaseManager manager) {
        return new LeaseOperations() {
            @Override
            public boolean holds(String resource) {
                return manager.holds(resource);
            }

            @Override
            public void announceIntent(String resource, String handle, Effects out) {
                manager.announceIntent(resource, handle, out);
            }

            @Override
            public void finishIntent(String resource, String handle, Effects out) {
                manager.finishIntent(resource, handle, out);
            }

            @Override
            public void observeFencing(String resource, long fencing) {
                manager.observeFencing(resource, fencing);
            }
        };
    }
}
