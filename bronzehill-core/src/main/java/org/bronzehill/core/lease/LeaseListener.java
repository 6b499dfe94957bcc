package org.bronzehill.core.lease;

import io.vavr.control.Option;
import org.bronzehill.core.node.Effects;
import org.bronzehill.protocol.generated.HolderHandover;

/**
 * Receives changes of this instance's leases. The lease manager calls it only from its {@code
 * onTick}, {@code onMessage}, {@code onInstanceList} and {@code dropAll} methods.
 */
public interface LeaseListener {

    /**
     * Called when this instance has obtained a lease.
     *
     * @param handover state that the previous holder sent at its planned shutdown, if any
     */
    void onAcquired(Lease lease, Option<HolderHandover> handover, Effects out);

    /** Called when a lease was lost, but not when this instance released it. */
    void onLost(String resource, Effects out);

    /**
     * Called when a majority of the grantors has recorded the intent to evict an adapter version.
     *
     * @param handle name under which the engine has loaded the adapter version
     */
    void onIntentAcknowledged(String resource, String handle, Effects out);
}
