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
    private static final long FIRST_REPORT_NANOS = 1_000_000_000L;

    private static final int MAX_RECENTLY_GONE = 512;

    /** Receiver of what a report has revealed. */
    interface Events {

        /** A handle has become resident. */
        void resident(AdapterHandle handle);

        /** A handle has left the engine, or a load has not happened. */
        void gone(AdapterHandle handle, Status before);

        /** An evict order with a lost answer has not been carried out. */
        void stillThere(AdapterHandle handle);
    }

    private final EngineState engine;
    private final EvictionRule rule;
    private final Map<String, AdapterHandle> handles = new LinkedHashMap<>();
    private final Map<String, Long> recentlyGone = new LinkedHashMap<>();
    private final Set<String> inheritedIntents;
    private final long takeoverNanos;
    private boolean historyKnown;
    private boolean settled;
    private long startNumber;
    private boolean reported;
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
        reported = true;
        for (HandleUse u : handover.getHandlesList()) {
            if (!handles.containsKey(u.getHandle())) {
                AdapterHandle h = put(u.getHandle(), Status.RESIDENT);
                // The holder that sent this counted the uses of its own epoch exactly.
                h.cleared =
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
    void restarted() {
        handles.values()
                .removeIf(
                        h ->
                                h.status() != Status.EVICT_ORDERED
                                        && h.status() != Status.EVICT_UNKNOWN);
        handles.values().forEach(h -> h.decisiveStamp = AdapterHandle.NO_STAMP);
        recentlyGone.clear();
        lastStamp = AdapterHandle.NO_STAMP;
        startNumber = 0;
        prefixes = List.of();
        refreshAll();
    }

    /** Compares the beliefs with a report; older reports than the last one are ignored. */
    void reconcile(EngineReport report, Events events) {
        if (report.stampMs() < lastStamp) {
            return;
        }
        noteReport(report);
        Set<String> seen = new HashSet<>();
        for (EngineReport.HandleReport r : report.handles()) {
            seen.add(r.handle());
            AdapterHandle h = handles.get(r.handle());
            if (h == null) {
                adopt(r, report.stampMs(), events);
            } else {
                compare(h, r, report.stampMs(), events);
            }
        }
        for (AdapterHandle h : List.copyOf(handles.values())) {
            if (!seen.contains(h.name()) && isDecisive(h, report.stampMs())) {
                absent(h, events);
            }
        }
        refreshAll();
    }

    private void noteReport(EngineReport report) {
        if (!reported || firstStamp == 0) {
            firstStamp = report.stampMs();
            reported = true;
        }
        startNumber = report.startNumber();
        lastStamp = report.stampMs();
        lastReportNanos = engine.now();
        prefixes = report.prefixes();
        settled |= report.stampMs() >= firstStamp + TAKEOVER_WAIT_MS;
        // An engine that has accepted a newer fencing number refuses the orders of older ones.
        historyKnown |=
                engine.upstream.checksFencing()
                        && report.highestFencing() >= engine.lease().fencing();
    }

    private void adopt(EngineReport.HandleReport r, long stamp, Events events) {
        Long gone = recentlyGone.get(r.handle());
        if (gone != null && stamp <= gone) {
            return;
        }
        AdapterHandle h = put(r.handle(), r.loading() ? Status.LOADING : Status.RESIDENT);
        h.cleared = settled && r.running() == 0;
        if (!r.loading()) {
            events.resident(h);
        }
    }

    private void compare(AdapterHandle h, EngineReport.HandleReport r, long stamp, Events events) {
        boolean decisive = isDecisive(h, stamp);
        if (r.running() == 0) {
            h.cleared |= settled;
            h.lingering &= stamp <= h.lingerStamp || h.lingerStamp == AdapterHandle.NO_STAMP;
        }
        if (h.lingerStamp == AdapterHandle.NO_STAMP) {
            h.lingerStamp = stamp + REPORT_LAG_MS;
        }
        h.missing &= !decisive || r.loading();
        boolean loadSeen =
                h.status() == Status.LOAD_UNKNOWN || h.status() == Status.LOADING && h.orderId == 0;
        if (loadSeen && !r.loading()) {
            h.status(Status.RESIDENT, engine.now(), decisiveStamp());
            events.resident(h);
        } else if (h.status() == Status.EVICT_UNKNOWN && decisive) {
            events.stillThere(h);
        }
    }

    private void absent(AdapterHandle h, Events events) {
        Status before = h.status();
        if ((before == Status.LOADING || before == Status.EVICT_ORDERED) && h.orderId != 0) {
            return;
        }
        if (h.uses() > 0) {
            unknown(h);
            return;
        }
        remove(h);
        events.gone(h, before);
    }

    /** Returns whether a report with this stamp was made after the last change of the handle. */
    private boolean isDecisive(AdapterHandle h, long stamp) {
        if (h.decisiveStamp == AdapterHandle.NO_STAMP) {
            h.decisiveStamp = stamp + REPORT_LAG_MS;
        }
        return stamp > h.decisiveStamp;
    }

    /** Returns the stamp after which a report surely shows what happens now. */
    long decisiveStamp() {
        return lastStamp == AdapterHandle.NO_STAMP
                ? AdapterHandle.NO_STAMP
                : lastStamp + (engine.now() - lastReportNanos) / 1_000_000 + REPORT_LAG_MS;
    }

    /** Adds a handle. */
    AdapterHandle put(String name, Status status) {
        AdapterVersion version = AdapterVersion.ofHandle(name);
        boolean own = AdapterVersion.fencingOfHandle(name) == engine.lease().fencing();
        AdapterHandle h =
                new AdapterHandle(name, version, own, inheritedIntents.contains(name), status);
        h.status(status, engine.now(), decisiveStamp());
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
        if (recentlyGone.size() >= MAX_RECENTLY_GONE) {
            recentlyGone.remove(recentlyGone.keySet().iterator().next());
        }
        recentlyGone.put(h.name(), decisiveStamp());
        refresh(h.version());
    }

    /** Notes that an attempt on the handle ended and may still run at the engine. */
    void linger(AdapterHandle h) {
        h.lingering = true;
        h.lingerStamp = decisiveStamp();
    }

    /** Ends a use; removes the handle if the engine no longer knows it. */
    void endUse(AdapterHandle h) {
        h.endUse();
        if (h.missing && h.uses() == 0) {
            remove(h);
        }
    }

    /** Notes that the engine does not know the handle. */
    void unknown(AdapterHandle h) {
        h.missing = true;
        h.status(h.status(), engine.now(), decisiveStamp());
        if (h.uses() == 0) {
            remove(h);
        }
        refresh(h.version());
    }

    /** Returns whether requests may be given to the handle. */
    boolean isUsable(AdapterHandle h) {
        return h.status() == Status.RESIDENT
                && !h.missing
                && !h.inheritedIntent()
                && h.version() != null
                && (h.ownEpoch() || historyKnown || settled);
    }

    /** Chooses the usable handle of an adapter version anew. */
    void refresh(AdapterVersion version) {
        AdapterState state = version == null ? null : engine.queue().known(version);
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
        engine.queue().handle(state, usable, engine.now());
    }

    private boolean isCurrent(AdapterHandle h) {
        return handles.get(h.name()) == h && isUsable(h);
    }

    private void refreshAll() {
        for (AdapterHandle h : handles.values()) {
            if (h.version() != null && isUsable(h)) {
                engine.queue().adapter(h.version(), "");
            }
        }
        for (AdapterState state : engine.queue().adapters()) {
            if (state.handle != null && !isCurrent(state.handle)) {
                engine.queue().handle(state, null, engine.now());
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
    boolean isKnown() {
        return reported || engine.now() - takeoverNanos >= FIRST_REPORT_NANOS;
    }

    /** Removes and returns the inherited intents whose handles are surely not on the engine. */
    List<String> takeClosedIntents() {
        if (!settled || inheritedIntents.isEmpty()) {
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
