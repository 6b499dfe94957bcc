package org.bronzehill.core.engine;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.config.KindSpec;
import org.bronzehill.core.engine.AdapterHandle.Status;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.protocol.generated.HandleUse;
import org.bronzehill.protocol.generated.HolderHandover;

/** Known state of the handles on an engine, reconciled with its delayed reports. */
final class HandleTable {

    /**
     * Wait after a takeover before a report can prove that no request of an earlier holder runs:
     * lease time + 2 s, measured on the engine's clock from the first report.
     */
    static final long TAKEOVER_WAIT_MS = 4000;

    /**
     * Assumed maximum lag of a report. Only reports stamped later than a change plus this lag can
     * contradict the change.
     */
    static final long REPORT_LAG_MS = 2000;

    /**
     * Time for which loads wait for the first report after a takeover; its content can make loads
     * unnecessary.
     */
    private static final long FIRST_REPORT_WAIT_NANOS = 1_000_000_000L;

    private static final int MAX_RECENTLY_REMOVED = 512;

    /** Receives the changes that a report has revealed. */
    interface Listener {

        /** Called when a handle has become resident. */
        void onResident(AdapterHandle handle);

        /** Called when a handle has left the engine, or its load has not taken place. */
        void onRemoved(AdapterHandle handle, Status before);

        /** Called when an evict order whose answer was lost has not been carried out. */
        void onStillPresent(AdapterHandle handle);
    }

    private final EngineState engine;
    private final EvictionRule rule;
    private final Map<String, AdapterHandle> handles = new LinkedHashMap<>();
    private final Map<String, Long> recentlyRemoved = new LinkedHashMap<>();
    private final Set<String> inheritedIntents;
    private final long takeoverNanos;

    /**
     * Whether {@link #inheritedIntents} contains every handle that an earlier holder can still
     * evict.
     */
    private boolean allEvictionIntentsKnown;

    private boolean takeoverWaitOver;
    private long startNumber;
    private boolean initialStateKnown;
    private long firstStamp;
    private long lastStamp = AdapterHandle.NO_STAMP;
    private long lastReportNanos;
    private List<Long> prefixes = List.of();

    HandleTable(EngineState engine, EvictionRule rule) {
        this.engine = engine;
        this.rule = rule;
        this.inheritedIntents = new HashSet<>(engine.lease().openIntents());
        this.allEvictionIntentsKnown = engine.lease().historyKnown();
        this.takeoverNanos = engine.now();
    }

    /** Applies the state sent by the previous holder at its planned stop. */
    void onHandover(HolderHandover handover) {
        inheritedIntents.addAll(handover.getOpenIntentsList());
        allEvictionIntentsKnown = true;
        initialStateKnown = true;
        for (HandleUse u : handover.getHandlesList()) {
            if (!handles.containsKey(u.getHandle())) {
                AdapterHandle h = add(u.getHandle(), Status.RESIDENT);
                // The previous holder's use counts are exact only for handles of its own epoch.
                h.earlierRequestsEnded =
                        u.getRunning() == 0
                                && AdapterVersion.fencingOfHandle(u.getHandle())
                                        == handover.getFencing();
            }
        }
        selectHandles();
    }

    /** Returns whether the report shows that the engine has restarted. */
    boolean isRestart(EngineReport report) {
        return startNumber != 0 && report.startNumber() != startNumber;
    }

    /**
     * Removes the handles after a restart of the engine, except those for which an evict order may
     * still arrive: their names must not be loaded again before its outcome is known.
     */
    void onEngineRestart() {
        handles.values()
                .removeIf(
                        h ->
                                h.status() != Status.EVICT_ORDERED
                                        && h.status() != Status.EVICT_UNKNOWN);
        handles.values().forEach(h -> h.reportsStaleUntilStamp = AdapterHandle.NO_STAMP);
        recentlyRemoved.clear();
        lastStamp = AdapterHandle.NO_STAMP;
        startNumber = 0;
        prefixes = List.of();
        selectHandles();
    }

    /** Reconciles the handles with a report; a report older than the last one is ignored. */
    void reconcile(EngineReport report, Listener listener) {
        if (report.stampMs() < lastStamp) {
            return;
        }
        recordReport(report);
        Set<String> seen = new HashSet<>();
        for (EngineReport.HandleReport r : report.handles()) {
            seen.add(r.handle());
            AdapterHandle h = handles.get(r.handle());
            if (h == null) {
                addReported(r, report.stampMs(), listener);
            } else {
                updateFromReport(h, r, report.stampMs(), listener);
            }
        }
        for (AdapterHandle h : List.copyOf(handles.values())) {
            if (!seen.contains(h.name()) && isFresh(h, report.stampMs())) {
                onAbsent(h, listener);
            }
        }
        selectHandles();
    }

    private void recordReport(EngineReport report) {
        if (!initialStateKnown || firstStamp == 0) {
            firstStamp = report.stampMs();
            initialStateKnown = true;
        }
        startNumber = report.startNumber();
        lastStamp = report.stampMs();
        lastReportNanos = engine.now();
        prefixes = report.prefixes();
        takeoverWaitOver |= report.stampMs() >= firstStamp + TAKEOVER_WAIT_MS;
        // An engine that has accepted this epoch's fencing number refuses orders of earlier epochs.
        allEvictionIntentsKnown |=
                engine.upstream.checksFencing()
                        && report.highestFencing() >= engine.lease().fencing();
    }

    private void addReported(EngineReport.HandleReport r, long stamp, Listener listener) {
        Long removed = recentlyRemoved.get(r.handle());
        if (removed != null && stamp <= removed) {
            return;
        }
        AdapterHandle h = add(r.handle(), r.loading() ? Status.LOADING : Status.RESIDENT);
        h.earlierRequestsEnded = takeoverWaitOver && r.running() == 0;
        if (!r.loading()) {
            listener.onResident(h);
        }
    }

    private void updateFromReport(
            AdapterHandle h, EngineReport.HandleReport r, long stamp, Listener listener) {
        boolean fresh = isFresh(h, stamp);
        if (r.running() == 0) {
            h.earlierRequestsEnded |= takeoverWaitOver;
            h.attemptMayStillRun &=
                    stamp <= h.attemptEndProvableAfterStamp
                            || h.attemptEndProvableAfterStamp == AdapterHandle.NO_STAMP;
        }
        if (h.attemptEndProvableAfterStamp == AdapterHandle.NO_STAMP) {
            h.attemptEndProvableAfterStamp = stamp + REPORT_LAG_MS;
        }
        h.unknownToEngine &= !fresh || r.loading();
        boolean awaitsLoadResult =
                h.status() == Status.LOAD_UNKNOWN || h.status() == Status.LOADING && h.orderId == 0;
        if (awaitsLoadResult && !r.loading()) {
            h.status(Status.RESIDENT, engine.now(), reportsStaleUntilStamp());
            listener.onResident(h);
        } else if (h.status() == Status.EVICT_UNKNOWN && fresh) {
            listener.onStillPresent(h);
        }
    }

    private void onAbsent(AdapterHandle h, Listener listener) {
        Status before = h.status();
        if ((before == Status.LOADING || before == Status.EVICT_ORDERED) && h.orderId != 0) {
            return;
        }
        if (h.uses() > 0) {
            markUnknownToEngine(h);
            return;
        }
        remove(h);
        listener.onRemoved(h, before);
    }

    /**
     * Returns whether a report with this stamp was made after the last change of the handle. Sets
     * the handle's {@code reportsStaleUntilStamp} from the report if it could not be determined
     * before.
     */
    private boolean isFresh(AdapterHandle h, long stamp) {
        if (h.reportsStaleUntilStamp == AdapterHandle.NO_STAMP) {
            h.reportsStaleUntilStamp = stamp + REPORT_LAG_MS;
        }
        return stamp > h.reportsStaleUntilStamp;
    }

    /**
     * Returns an upper bound of the stamps of reports made before now: the stamp of the last report
     * plus the time since it arrived and the report lag. Returns {@link AdapterHandle#NO_STAMP}
     * before the first report.
     */
    long reportsStaleUntilStamp() {
        return lastStamp == AdapterHandle.NO_STAMP
                ? AdapterHandle.NO_STAMP
                : lastStamp + (engine.now() - lastReportNanos) / 1_000_000 + REPORT_LAG_MS;
    }

    AdapterHandle add(String name, Status status) {
        AdapterVersion version = AdapterVersion.ofHandle(name);
        boolean own = AdapterVersion.fencingOfHandle(name) == engine.lease().fencing();
        AdapterHandle h =
                new AdapterHandle(name, version, own, inheritedIntents.contains(name), status);
        h.status(status, engine.now(), reportsStaleUntilStamp());
        handles.put(name, h);
        return h;
    }

    /** Removes a handle that is no longer on the engine. */
    void remove(AdapterHandle h) {
        if (handles.get(h.name()) != h) {
            return;
        }
        handles.remove(h.name());
        inheritedIntents.remove(h.name());
        if (recentlyRemoved.size() >= MAX_RECENTLY_REMOVED) {
            recentlyRemoved.remove(recentlyRemoved.keySet().iterator().next());
        }
        recentlyRemoved.put(h.name(), reportsStaleUntilStamp());
        selectHandle(h.version());
    }

    /** Records that an attempt on the handle has ended but may still run on the engine. */
    void markAttemptMayStillRun(AdapterHandle h) {
        h.attemptMayStillRun = true;
        h.attemptEndProvableAfterStamp = reportsStaleUntilStamp();
    }

    /** Ends a use; removes the handle if it is no longer used and the engine does not know it. */
    void endUse(AdapterHandle h) {
        h.endUse();
        if (h.unknownToEngine && h.uses() == 0) {
            remove(h);
        }
    }

    /** Records that the engine does not know the handle; removes it unless it is in use. */
    void markUnknownToEngine(AdapterHandle h) {
        h.unknownToEngine = true;
        h.status(h.status(), engine.now(), reportsStaleUntilStamp());
        if (h.uses() == 0) {
            remove(h);
        }
        selectHandle(h.version());
    }

    /** Returns whether new requests can be started on the handle. */
    boolean isUsable(AdapterHandle h) {
        return h.status() == Status.RESIDENT
                && !h.unknownToEngine
                && !h.inheritedIntent()
                && h.version() != null
                && (h.createdUnderThisLease() || allEvictionIntentsKnown || takeoverWaitOver);
    }

    /**
     * Selects a usable handle to which new requests for the adapter version are assigned, unless
     * its present one is still usable.
     */
    void selectHandle(AdapterVersion version) {
        AdapterDemand demand = version == null ? null : engine.queue().find(version);
        if (demand == null || demand.handle != null && isCurrent(demand.handle)) {
            return;
        }
        AdapterHandle usable = null;
        for (AdapterHandle h : handles.values()) {
            if (version.equals(h.version()) && isUsable(h)) {
                usable = h;
                break;
            }
        }
        engine.queue().setHandle(demand, usable, engine.now());
    }

    private boolean isCurrent(AdapterHandle h) {
        return handles.get(h.name()) == h && isUsable(h);
    }

    private void selectHandles() {
        for (AdapterHandle h : handles.values()) {
            if (h.version() != null && isUsable(h)) {
                engine.queue().getOrCreate(h.version(), "");
            }
        }
        for (AdapterDemand demand : engine.queue().adapters()) {
            if (demand.handle != null && !isCurrent(demand.handle)) {
                engine.queue().setHandle(demand, null, engine.now());
            }
        }
        for (AdapterHandle h : handles.values()) {
            selectHandle(h.version());
        }
    }

    boolean mayEvict(AdapterHandle h) {
        return rule.mayEvict(h, longestDeadlinePassed());
    }

    boolean mayOrderEviction(AdapterHandle h) {
        return rule.mayOrder(h);
    }

    /**
     * Returns whether more time has passed since the takeover than the longest deadline that a
     * request kind allows, so that every request of an earlier holder has ended.
     */
    private boolean longestDeadlinePassed() {
        long longest = 0;
        for (KindSpec k : engine.configuration().base().kinds().values()) {
            longest = Math.max(longest, k.deadline().toNanos());
        }
        return longest > 0 && engine.now() - takeoverNanos > longest;
    }

    AdapterHandle get(String name) {
        return handles.get(name);
    }

    Collection<AdapterHandle> all() {
        return handles.values();
    }

    int freeSlots() {
        return engine.upstream.engineProperties().adapterSlots() - handles.size();
    }

    /**
     * Returns whether loads may be ordered: the engine's handles are known from a report or a
     * handover, or the wait for the first report is over.
     */
    boolean mayOrderLoads() {
        return initialStateKnown || engine.now() - takeoverNanos >= FIRST_REPORT_WAIT_NANOS;
    }

    /**
     * Removes and returns the inherited intents whose handles are known to have left the engine;
     * the caller closes them.
     */
    List<String> removeIntentsWithoutHandle() {
        if (!takeoverWaitOver || inheritedIntents.isEmpty()) {
            return List.of();
        }
        List<String> withoutHandle =
                inheritedIntents.stream().filter(i -> !handles.containsKey(i)).sorted().toList();
        withoutHandle.forEach(inheritedIntents::remove);
        return withoutHandle;
    }

    /** Returns the intents of earlier holders whose handles may still be on the engine. */
    Set<String> inheritedIntents() {
        return inheritedIntents;
    }

    List<Long> prefixes() {
        return prefixes;
    }

    /** Returns the age of the last report, or -1 before the first one. */
    long reportAgeMs() {
        return lastStamp == AdapterHandle.NO_STAMP
                ? -1
                : (engine.now() - lastReportNanos) / 1_000_000;
    }
}
