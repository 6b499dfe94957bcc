package org.bronzehill.core.budget;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.HolderHandover;
import org.bronzehill.protocol.generated.PermitRequest;

/** Permits for loads from the weight store of the region. */
public final class StoreBudget {

    private final PermitListener listener;
    private final List<PermitRequest> pending = new ArrayList<>();

    private StoreBudget(PermitListener listener) {
        this.listener = listener;
    }

    /** Creates the component; it has no permits and no requests. */
    public static StoreBudget create(
            LeaseManager leases,
            Membership membership,
            Supplier<Configuration> configuration,
            TimeSource time,
            PermitListener listener) {
        return new StoreBudget(listener);
    }

    /** Grants the permits that are due and repeats requests that were not answered. */
    public void onTick(Effects out) {
        List<PermitRequest> due = List.copyOf(pending);
        pending.clear();
        due.forEach(p -> listener.granted(p.getEngine(), p.getSequence(), out));
    }

    /** Handles PermitRequest, PermitGrant and PermitReturn. */
    public void onMessage(Envelope envelope, Effects out) {}

    /** Starts the holder's side of the budget; called when its lease was obtained. */
    public void acquired(Lease lease, Option<HolderHandover> handover, Effects out) {}

    /** Returns the permits in use, for the next holder of the budget at a planned stop. */
    public HolderHandover handover() {
        return HolderHandover.getDefaultInstance();
    }

    /**
     * Asks for a permit, or changes the deadline and value of a request with the same engine and
     * sequence.
     */
    public void request(PermitRequest request, Effects out) {
        pending.add(request);
    }

    /** Gives up a request that is no longer needed. */
    public void withdraw(String engine, long sequence, Effects out) {}

    /**
     * Returns a permit.
     *
     * @param used whether the load was started; the rate of an unused permit is given back
     */
    public void finished(String engine, long sequence, boolean used, Effects out) {}
}
