package org.bronzehill.core.node;

import io.vavr.control.Option;
import org.bronzehill.core.budget.StoreBudget;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.lease.LeaseListener;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.protocol.generated.HolderHandover;

/** Tells the engine desk or the store budget about the leases that concern them. */
final class Leases implements LeaseListener {

    private HeldEngines engines;
    private StoreBudget budget;

    void bind(HeldEngines newEngines, StoreBudget newBudget) {
        engines = newEngines;
        budget = newBudget;
    }

    @Override
    public void onAcquired(Lease lease, Option<HolderHandover> handover, Effects out) {
        if (Resources.isEngine(lease.resource())) {
            engines.acquired(lease, handover, out);
        } else {
            budget.onLeaseAcquired(lease, handover, out);
        }
    }

    @Override
    public void onLost(String resource, Effects out) {
        if (Resources.isEngine(resource)) {
            engines.lost(resource, out);
        }
    }

    @Override
    public void onIntentAcknowledged(String resource, String handle, Effects out) {
        engines.onIntentAcknowledged(resource, handle, out);
    }
}
