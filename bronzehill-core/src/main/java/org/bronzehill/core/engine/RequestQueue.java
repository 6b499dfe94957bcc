package org.bronzehill.core.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.admission.Entitlement;
import org.bronzehill.core.admission.FairQueue;
import org.bronzehill.core.model.AdapterVersion;

/** Requests that wait for an engine, in fair order and grouped by adapter version. */
final class RequestQueue {

    /**
     * Maximum number of adapter versions; beyond it, those without waiting requests, handle or load
     * are dropped.
     */
    private static final int MAX_ADAPTER_STATES = 4096;

    private final FairQueue<AdmittedRequest> queue = FairQueue.create();
    private final Map<AdapterVersion, AdapterDemand> adapters = new LinkedHashMap<>();
    private final int[] stalled = new int[Urgency.values().length];

    /** Returns the demand for an adapter version; creates it if absent. */
    AdapterDemand getOrCreate(AdapterVersion version, String weightsLocation) {
        AdapterDemand demand =
                adapters.computeIfAbsent(version, v -> new AdapterDemand(v, weightsLocation));
        if (!weightsLocation.isEmpty()) {
            demand.weightsLocation = weightsLocation;
        }
        return demand;
    }

    /** Returns the demand for an adapter version, or null if there is none. */
    AdapterDemand find(AdapterVersion version) {
        return adapters.get(version);
    }

    Collection<AdapterDemand> adapters() {
        return adapters.values();
    }

    void add(AdmittedRequest q, long nowNanos) {
        Entitlement e = q.entitlement();
        AdapterDemand demand = getOrCreate(e.version(), e.weights());
        q.adapter = demand;
        q.entry = queue.add(q, q.urgency(), e.team().name(), e.team().share(), q.deadlineNanos());
        demand.waiting().add(q);
        if (demand.handle == null) {
            q.startStall(nowNanos);
            stalled[q.urgency().ordinal()]++;
        }
    }

    void remove(AdmittedRequest q, long nowNanos) {
        if (q.entry == null) {
            return;
        }
        queue.remove(q.entry);
        q.adapter.waiting().remove(q);
        if (q.adapter.handle == null) {
            stalled[q.urgency().ordinal()]--;
        }
        q.endStall(nowNanos);
        q.entry = null;
        q.adapter = null;
    }

    /** Sets the usable handle of an adapter version; null if it no longer has one. */
    void setHandle(AdapterDemand demand, AdapterHandle handle, long nowNanos) {
        boolean before = demand.handle != null;
        boolean after = handle != null;
        demand.handle = handle;
        if (before == after) {
            return;
        }
        for (AdmittedRequest q : demand.waiting()) {
            stalled[q.urgency().ordinal()] += after ? -1 : 1;
            if (after) {
                q.endStall(nowNanos);
            } else {
                q.startStall(nowNanos);
            }
        }
    }

    /** Returns the first request that is ready, or null; it stays in the queue. */
    AdmittedRequest first(Predicate<AdmittedRequest> ready) {
        FairQueue.Entry<AdmittedRequest> entry = queue.first(ready);
        return entry == null ? null : entry.item();
    }

    /** Returns the request to displace in favour of a new one, or null if there is none. */
    AdmittedRequest displaceableFor(Entitlement e) {
        FairQueue.Entry<AdmittedRequest> entry =
                queue.displaceableFor(e.team().name(), e.team().share(), e.kind().urgency());
        return entry == null ? null : entry.item();
    }

    void charge(Entitlement e, double factor) {
        queue.charge(e.team().name(), e.team().share(), factor * e.kind().weight());
    }

    int size() {
        return queue.size();
    }

    /**
     * Returns how many requests of the class and of all more urgent ones do not wait for their
     * adapter to be loaded. They include requests that are delayed to form a group.
     */
    int notAwaitingAdapterUpTo(Urgency urgency) {
        int notAwaiting = queue.sizeUpTo(urgency);
        for (int i = 0; i <= urgency.ordinal(); i++) {
            notAwaiting -= stalled[i];
        }
        return notAwaiting;
    }

    /** Calls {@code action} with every request; the action must not change the queue. */
    void forEach(Consumer<AdmittedRequest> action) {
        queue.forEach(action);
    }

    /** Returns a copy of the waiting requests, in no particular order. */
    List<AdmittedRequest> snapshot() {
        List<AdmittedRequest> all = new ArrayList<>(queue.size());
        queue.forEach(all::add);
        return all;
    }

    /**
     * Limits the number of adapter versions. Above half of the maximum, demand objects that hold no
     * information worth keeping are removed; above the maximum, all those without waiting requests,
     * handle or load.
     */
    void prune(long nowNanos) {
        if (adapters.size() <= MAX_ADAPTER_STATES / 2) {
            return;
        }
        adapters.values().removeIf(a -> a.isIdle(nowNanos));
        if (adapters.size() > MAX_ADAPTER_STATES) {
            adapters.values()
                    .removeIf(
                            a ->
                                    a.waiting().isEmpty()
                                            && a.handle == null
                                            && a.phase == AdapterDemand.Phase.NONE);
        }
    }
}
