package org.bronzehill.core.lease;

import io.vavr.control.Option;
import org.bronzehill.core.node.Effects;
import org.bronzehill.protocol.generated.HolderHandover;

/**
 * Receives the changes of this instance's leases. It is called only from {@code onTick}, {@code
 * onMessage}, {@code onInstanceList} and {@code dropAll} of the lease manager.
 */
public interface LeaseListener {

    /**
     * Called when this instance has obtained a lease.
     *
     * @param handover state that the previous holder sent at its planned stop, if it did
     */
    void onAcquired(Lease lease, Option<HolderHandover> handover, Effects out);

    /** Called when a lease was lost; not called for a lease that this instance released. */
    void onLost(String resource, Effects out);

    /** Called when a majority of the grantors has recorded the intent to evict {@code handle}. */
    void onIntentAcknowledged(String resource, String handle, Effects out);
}
