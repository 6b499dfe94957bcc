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

/** Beliefs about the handles on an engine, reconciled with its late reports. */
final class HandleTable {

    /** Lease time + 2 s, counted in engine clock time from the first report after the takeover. */
    static final long TAKEOVER_WAIT_MS = 4000;

    /** Assumed largest lag of a report: only later ones contradict what the holder knows. */
    static final long REPORT_LAG_MS = 2000;

    /** Loads wait this long after a takeover for the first report, which saves needless loads. */
    private static final long FIRST_REPORT_WAIT_NANOS = 1_000_000_000L;

    private static final int MAX_RECENTLY_REMOVED = 512;

    /** Receiver of what a report has revealed. */
    interface Listener {

        /** A handle has become resident. */
        void onResident(AdapterHandle handle);

        /** A handle has left the engine, or a load has not happened. */
        void onRemoved(AdapterHandle handle, Status before);

        /** An evict order with a lost answer has not been carried out. */
        void onStillPresent(AdapterHandle handle);
    }

    private final EngineState engine;
    private final EvictionRule rule;
    private final Map<String, AdapterHandle> handles = new LinkedHashMap<>();
    private final Map<String, Long> recentlyRemoved = new LinkedHashMap<>();
    private final Set<String> inheritedIntents;
    private final long takeoverNanos;
    private boolean historyKnown;
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
        this.historyKnown = engine.lease().historyKnown();
        this.takeoverNanos = engine.now();
    }

    /** Takes over the state of the previous holder, which has stopped as planned. */
    void onHandover(HolderHandover handover) {
        inheritedIntents.addAll(handover.getOpenIntentsList());
        historyKnown = true;
        initialStateKnown = true;
        for (HandleUse u : handover.getHandlesList()) {
            if (!handles.containsKey(u.getHandle())) {
                AdapterHandle h = add(u.getHandle(), Status.RESIDENT);
                // The holder that sent this counted the uses of its own epoch exactly.
                h.earlierRequestsEnded =
                        u.getRunning() == 0
                                && AdapterVersion.fencingOfHandle(u.getHandle())
                                        == handover.getFencing();
            }
        }
        refreshAll();
    }

    /** Returns whether the report shows that the engine has restarted. */
    boolean isRestart(EngineReport report) {
        return startNumber != 0 && report.startNumber() != startNumber;
    }

    /**
     * Forgets the handles after a restart of the engine, except those for which an evict order may
     * still arrive: their names are not loaded again before that is settled.
     */
    void onEngineRestart() {
        handles.values()
                .removeIf(
                        h ->
                                h.status() != Status.EVICT_ORDERED
                                        && h.status() != Status.EVICT_UNKNOWN);
        handles.values().forEach(h -> h.staleUntilStamp = AdapterHandle.NO_STAMP);
        recentlyRemoved.clear();
        lastStamp = AdapterHandle.NO_STAMP;
        startNumber = 0;
        prefixes = List.of();
        refreshAll();
    }

    /** Compares the beliefs with a report; older reports than the last one are ignored. */
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
        refreshAll();
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
        // An engine that has accepted a newer fencing number refuses the orders of older ones.
        historyKnown |=
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
            h.mayStillRun &=
                    stamp <= h.mayStillRunUntilStamp
                            || h.mayStillRunUntilStamp == AdapterHandle.NO_STAMP;
        }
        if (h.mayStillRunUntilStamp == AdapterHandle.NO_STAMP) {
            h.mayStillRunUntilStamp = stamp + REPORT_LAG_MS;
        }
        h.unknownToEngine &= !fresh || r.loading();
        boolean awaitsLoadResult =
                h.status() == Status.LOAD_UNKNOWN || h.status() == Status.LOADING && h.orderId == 0;
        if (awaitsLoadResult && !r.loading()) {
            h.status(Status.RESIDENT, engine.now(), staleUntilStamp());
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
            markUnknown(h);
            return;
        }
        remove(h);
        listener.onRemoved(h, before);
    }

    /** Returns whether a report with this stamp was made after the last change of the handle. */
    private boolean isFresh(AdapterHandle h, long stamp) {
        if (h.staleUntilStamp == AdapterHandle.NO_STAMP) {
            h.staleUntilStamp = stamp + REPORT_LAG_MS;
        }
        return stamp > h.staleUntilStamp;
    }

    /** Returns the stamp after which a report surely shows what happens now. */
    long staleUntilStamp() {
        return lastStamp == AdapterHandle.NO_STAMP
                ? AdapterHandle.NO_STAMP
                : lastStamp + (engine.now() - lastReportNanos) / 1_000_000 + REPORT_LAG_MS;
    }

    /** Adds a handle. */
    AdapterHandle add(String name, Status status) {
        AdapterVersion version = AdapterVersion.ofHandle(name);
        boolean own = AdapterVersion.fencingOfHandle(name) == engine.lease().fencing();
        AdapterHandle h =
                new AdapterHandle(name, version, own, inheritedIntents.contains(name), status);
        h.status(status, engine.now(), staleUntilStamp());
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
        recentlyRemoved.put(h.name(), staleUntilStamp());
        refresh(h.version());
    }

    /** Notes that an attempt on the handle ended and may still run at the engine. */
    void markMayStillRun(AdapterHandle h) {
        h.mayStillRun = true;
        h.mayStillRunUntilStamp = staleUntilStamp();
    }

    /** Ends a use; removes the handle if the engine no longer knows it. */
    void endUse(AdapterHandle h) {
        h.endUse();
        if (h.unknownToEngine && h.uses() == 0) {
            remove(h);
        }
    }

    /** Notes that the engine does not know the handle. */
    void markUnknown(AdapterHandle h) {
        h.unknownToEngine = true;
        h.status(h.status(), engine.now(), staleUntilStamp());
        if (h.uses() == 0) {
            remove(h);
        }
        refresh(h.version());
    }

    /** Returns whether requests may be given to the handle. */
    boolean isUsable(AdapterHandle h) {
        return h.status() == Status.RESIDENT
                && !h.unknownToEngine
                && !h.inheritedIntent()
                && h.version() != null
                && (h.ownEpoch() || historyKnown || takeoverWaitOver);
    }

    /** Chooses the usable handle of an adapter version anew. */
    void refresh(AdapterVersion version) {
        AdapterState state = version == null ? null : engine.queue().find(version);
        if (state == null || state.handle != null && isCurrent(state.handle)) {
            return;
        }
        AdapterHandle usable = null;
        for (AdapterHandle h : handles.values()) {
            if (version.equals(h.version()) && isUsable(h)) {
                usable = h;
                break;
            }
        }
        engine.queue().setHandle(state, usable, engine.now());
    }

    private boolean isCurrent(AdapterHandle h) {
        return handles.get(h.name()) == h && isUsable(h);
    }

    private void refreshAll() {
        for (AdapterHandle h : handles.values()) {
            if (h.version() != null && isUsable(h)) {
                engine.queue().getOrCreate(h.version(), "");
            }
        }
        for (AdapterState state : engine.queue().adapters()) {
            if (state.handle != null && !isCurrent(state.handle)) {
                engine.queue().setHandle(state, null, engine.now());
            }
        }
        for (AdapterHandle h : handles.values()) {
            refresh(h.version());
        }
    }

    /** Returns whether the handle may be evicted now. */
    boolean mayEvict(AdapterHandle h) {
        return rule.mayEvict(h, earlierHoldersEnded());
    }

    /** Returns whether the order to evict the handle may be sent now. */
    boolean mayOrderEviction(AdapterHandle h) {
        return rule.mayOrder(h);
    }

    /** Returns whether the longest deadline of any kind has passed since the takeover. */
    private boolean earlierHoldersEnded() {
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
        return engine.upstream.shape().adapterSlots() - handles.size();
    }

    /** Returns whether enough is known about the engine to order loads. */
    boolean isInitialStateKnown() {
        return initialStateKnown || engine.now() - takeoverNanos >= FIRST_REPORT_WAIT_NANOS;
    }

    /** Removes and returns the inherited intents whose handles are surely not on the engine. */
    List<String> removeClosedIntents() {
        if (!takeoverWaitOver || inheritedIntents.isEmpty()) {
            return List.of();
        }
        List<String> closed =
                inheritedIntents.stream().filter(i -> !handles.containsKey(i)).sorted().toList();
        closed.forEach(inheritedIntents::remove);
        return closed;
    }

    /** Returns intents of earlier holders whose handles are not known to be gone. */
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
