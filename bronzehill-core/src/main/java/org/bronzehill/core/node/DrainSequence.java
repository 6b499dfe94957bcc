package org.bronzehill.core.node;

import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import org.bronzehill.core.budget.StoreBudget;
import org.bronzehill.core.engine.EngineScheduler;
import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.core.onceonly.ActManager;

/**
 * Planned shutdown of the instance: completes open requests, hands leases over, and then reports
 * that the process may end.
 */
final class DrainSequence {

    private final CoreContext context;
    private final LeasedEngines engines;
    private final LeaseManager leases;
    private final StoreBudget budget;
    private final ActManager acts;
    private final IntSupplier openRequestCount;

    DrainSequence(
            CoreContext context,
            LeasedEngines engines,
            LeaseManager leases,
            StoreBudget budget,
            ActManager acts,
            IntSupplier openRequestCount) {
        this.context = context;
        this.engines = engines;
        this.leases = leases;
        this.budget = budget;
        this.acts = acts;
        this.openRequestCount = openRequestCount;
    }

    /** Starts the drain: withdraws readiness, then announces the shutdown to the peers. */
    void begin(Effects out) {
        if (context.readiness().isDraining()) {
            return;
        }
        context.readiness().onDrain();
        context.readiness().update(out);
        context.membership().leave(out);
        engines.active().values().forEach(s -> s.drain(out));
        onTick(out);
    }

    /**
     * Releases the idle engines once no request is open, and completes the drain when no engine or
     * act is left.
     */
    void onTick(Effects out) {
        if (context.readiness().phase() != CoreStatus.Phase.DRAINING
                || openRequestCount.getAsInt() > 0) {
            return;
        }
        for (Map.Entry<String, EngineScheduler> e : List.copyOf(engines.active().entrySet())) {
            if (e.getValue().inFlight() == 0) {
                leases.release(Resources.engine(e.getKey()), e.getValue().handover(), out);
                engines.remove(e.getKey());
            }
        }
        if (!engines.active().isEmpty() || engines.inFlight() > 0 || acts.inFlight() > 0) {
            return;
        }
        String store = Resources.store(context.settings().self().region());
        if (leases.holds(store)) {
            leases.release(store, budget.handover(), out);
        }
        acts.handOver(out);
        context.readiness().onDrained();
        out.add(new Effect.Drained());
    }
}
