package org.bronzehill.core.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.protocol.generated.EngineSummary;

/** State of one engine as known to this instance from the instance list and from summaries. */
final class EngineView {

    /** State of an adapter version at the engine; {@code waiting} counts its waiting requests. */
    record Residency(boolean loading, int waiting) {}

    private static final long[] NO_PREFIXES = {};

    private final String id;
    private final long nameHash;
    private final UnreportedAttempts unreported = new UnreportedAttempts();
    private Upstream upstream;
    private Map<AdapterVersion, Residency> adapters = new HashMap<>();
    private long[] prefixes = NO_PREFIXES;
    private long fencing;
    private long sequence;
    private String holder = "";
    private boolean hasSummary;
    private long summaryNanos;
    private boolean available = true;
    private int running;
    private int runningOrQueued;
    private int pendingLoads;

    EngineView(Upstream upstream) {
        this.id = upstream.id();
        this.nameHash = RendezvousHash.nameHash(upstream.id());
        this.upstream = upstream;
    }

    void updateUpstream(Upstream changed) {
        upstream = changed;
    }

    /** Returns whether a summary is not newer than the last one applied. */
    boolean isOutdated(EngineSummary s) {
        return s.getFencing() < fencing || s.getFencing() == fencing && s.getSequence() <= sequence;
    }

    /** Replaces the state by that of a summary and the adapters parsed from it. */
    void update(EngineSummary s, Map<AdapterVersion, Residency> newAdapters, long nowNanos) {
        fencing = s.getFencing();
        sequence = s.getSequence();
        holder = s.getHolder();
        available = s.getAvailable() && !s.getLeaving();
        running = s.getRunning();
        runningOrQueued = running + s.getQueued();
        adapters = newAdapters;
        pendingLoads = 0;
        for (Residency r : newAdapters.values()) {
            pendingLoads += r.loading() ? 1 : 0;
        }
        prefixes = NO_PREFIXES;
        if (s.getPrefixesCount() > 0) {
            prefixes = s.getPrefixesList().stream().mapToLong(Long::longValue).toArray();
            Arrays.sort(prefixes);
        }
        hasSummary = true;
        summaryNanos = nowNanos;
        unreported.removeReported(nowNanos);
    }

    String id() {
        return id;
    }

    long nameHash() {
        return nameHash;
    }

    UnreportedAttempts unreported() {
        return unreported;
    }

    String baseModel() {
        return upstream.engineProperties().baseModel();
    }

    int batchSize() {
        return Math.max(1, upstream.engineProperties().batchSize());
    }

    int adapterSlots() {
        return Math.max(1, upstream.engineProperties().adapterSlots());
    }

    Map<AdapterVersion, Residency> adapters() {
        return adapters;
    }

    /** Returns the holder named in the last summary; empty if no summary has arrived. */
    String holder() {
        return holder;
    }

    /** Returns whether the last summary is no older than {@code limitNanos}. */
    boolean isFresh(long nowNanos, long limitNanos) {
        return hasSummary && nowNanos - summaryNanos <= limitNanos;
    }

    boolean acceptsWork() {
        return upstream.acceptsWork() && available;
    }

    /** Returns the running and waiting requests, including unreported attempts of this instance. */
    int load() {
        return runningOrQueued + unreported.size();
    }

    /** Returns the running requests, including unreported attempts of this instance. */
    int running() {
        return running + unreported.size();
    }

    /** Returns the number of adapters being loaded or queued for loading. */
    int pendingLoads() {
        return pendingLoads;
    }

    boolean hasPrefix(long hash) {
        return hash != 0 && Arrays.binarySearch(prefixes, hash) >= 0;
    }
}
