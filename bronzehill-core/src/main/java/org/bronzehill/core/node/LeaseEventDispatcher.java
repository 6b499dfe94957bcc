package org.bronzehill.core.node;

import io.vavr.control.Option;
import org.bronzehill.core.budget.StoreBudget;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.lease.LeaseListener;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.protocol.generated.HolderHandover;

/**
 * Passes lease events of engines to the schedulers, and the acquisition of the weight store's lease
 * to its budget. The budget itself checks whether the lease is still held.
 */
final class LeaseEventDispatcher implements LeaseListener {

    private LeasedEngines engines;
    private StoreBudget budget;

    void bind(LeasedEngines newEngines, StoreBudget newBudget) {
        engines = newEngines;
        budget = newBudget;
    }

    @Override
    public void onAcquired(Lease lease, Option<HolderHandover> handover, Effects out) {
        if (Resources.isEngine(lease.resource())) {
            engines.onLeaseAcquired(lease, handover, out);
        } else {
            budget.onLeaseAcquired(lease, handover, out);
        }
    }

    @Override
    public void onLost(String resource, Effects out) {
        if (Resources.isEngine(resource)) {
            engines.onLeaseLost(resource, out);
        }
    }

    @Override
    public void onIntentAcknowledged(String resource, String handle, Effects out) {
        engines.onIntentAcknowledged(resource, handle, out);
    }
}
