package org.bronzehill.core.engine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bronzehill.core.engine.AdapterHandle.Status;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.HandleUse;
import org.bronzehill.protocol.generated.HolderHandover;
import org.bronzehill.protocol.generated.ResidentAdapter;

/** Builds the summary of an engine for routers and its handover to the next holder. */
final class SummaryBuilder {

    private static final int MAX_PREFIXES = 64;

    /** Maximum number of planned loads in a summary, to bound the size of the message. */
    private static final int MAX_PLANNED = 32;

    private final EngineState engine;
    private final HandleTable handles;
    private final Dispatcher dispatcher;
    private final CachedPrefixes cached;
    private long sequence;

    SummaryBuilder(
            EngineState engine, HandleTable handles, Dispatcher dispatcher, CachedPrefixes cached) {
        this.engine = engine;
        this.handles = handles;
        this.dispatcher = dispatcher;
        this.cached = cached;
    }

    EngineSummary summary() {
        Upstream u = engine.upstream;
        EngineSummary.Builder summary =
                EngineSummary.newBuilder()
                        .setEngine(u.id())
                        .setFencing(engine.lease().fencing())
                        .setSequence(++sequence)
                        .setAdapterSlots(u.engineProperties().adapterSlots())
                        .setRunning(dispatcher.running().size())
                        .setBatchSize(u.engineProperties().batchSize())
                        .setQueued(dispatcher.waitingForBatch())
                        .setReportAgeMs(Math.max(0, handles.reportAgeMs()))
                        .setLeaving(!u.acceptsWork())
                        .setAvailable(engine.acceptsWork() && !engine.draining)
                        .setDataCentre(u.dataCentre())
                        .setBaseModel(u.engineProperties().baseModel());
        addAdapters(summary);
        summary.addAllPrefixes(prefixes());
        return summary.build();
    }

    /**
     * Returns the prefixes from cache events, which show removals and gaps; for engines that
     * publish none, those listed in the last report.
     */
    private List<Long> prefixes() {
        if (cached.lastSequence() > 0) {
            return cached.latest(MAX_PREFIXES);
        }
        List<Long> reported = handles.prefixes();
        return reported.subList(0, Math.min(MAX_PREFIXES, reported.size()));
    }

    private void addAdapters(EngineSummary.Builder summary) {
        Set<AdapterVersion> listed = new HashSet<>();
        for (AdapterHandle h : handles.all()) {
            boolean loading = h.status() == Status.LOADING || h.status() == Status.LOAD_UNKNOWN;
            if (h.version() != null
                    && (loading || handles.isUsable(h))
                    && listed.add(h.version())) {
                AdapterDemand s = engine.queue().find(h.version());
                int waiting = s == null ? 0 : s.waiting().size();
                summary.addAdapters(adapter(h.version(), loading, h.uses(), waiting));
            }
        }
        int planned = 0;
        for (AdapterDemand s : engine.queue().adapters()) {
            if (!s.waiting().isEmpty() && planned < MAX_PLANNED && listed.add(s.version())) {
                planned++;
                summary.addAdapters(adapter(s.version(), true, 0, s.waiting().size()));
            }
        }
    }

    private static ResidentAdapter adapter(
            AdapterVersion version, boolean loading, int running, int waiting) {
        return ResidentAdapter.newBuilder()
                .setAdapter(version.adapter())
                .setVersion(version.version())
                .setLoading(loading)
                .setRunning(running)
                .setWaiting(waiting)
                .build();
    }

    /**
     * Builds the handover: the resident handles, the handles whose eviction has begun, and the open
     * intents, including those of earlier holders.
     */
    HolderHandover handover() {
        HolderHandover.Builder handover =
                HolderHandover.newBuilder()
                        .setResource(engine.lease().resource())
                        .setFencing(engine.lease().fencing());
        Set<String> intents = new HashSet<>(handles.inheritedIntents());
        for (AdapterHandle h : handles.all()) {
            boolean evicting =
                    h.status() == Status.INTENT_ANNOUNCED
                            || h.status() == Status.EVICT_ORDERED
                            || h.status() == Status.EVICT_UNKNOWN;
            if (evicting) {
                intents.add(h.name());
            }
            if (evicting || h.status() == Status.RESIDENT) {
                int running = h.uses() + (h.attemptMayStillRun ? 1 : 0);
                handover.addHandles(HandleUse.newBuilder().setHandle(h.name()).setRunning(running));
            }
        }
        intents.stream().sorted().forEach(handover::addOpenIntents);
        return handover.build();
    }
}
