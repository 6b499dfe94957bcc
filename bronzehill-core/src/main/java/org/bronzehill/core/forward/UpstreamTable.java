package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.UpstreamLoad;
import org.jboss.logging.Logger;

/** Table of the upstreams that the platform publishes. */
final class UpstreamTable {

    private static final Logger LOG = Logger.getLogger(UpstreamTable.class);

    private final TimeSource time;
    private final Duration recoveryGrace;
    private final Map<String, UpstreamState> states = new LinkedHashMap<>();
    private final Map<Integer, UpstreamState> byHash = new HashMap<>();
    private final Map<String, Long> lapsedKeptUntil = new HashMap<>();
    private final OutdatedRecords outdatedRecords;
    private final ServedVersions servedVersions;
    private long storeRecoveredAt;

    /**
     * @param recoveryGrace how long after an outage of the store a missing record may still be
     *     published again
     * @param heartbeat interval at which an upstream publishes its record; zero if it is not known
     */
    UpstreamTable(TimeSource time, Duration recoveryGrace, Duration heartbeat) {
        this.time = time;
        this.recoveryGrace = recoveryGrace;
        this.outdatedRecords = new OutdatedRecords(time);
        this.servedVersions = new ServedVersions(time, heartbeat);
        this.storeRecoveredAt = time.nanoTime();
    }

    /**
     * Starts the grace period for missing records, because the store has recovered from an outage.
     */
    void onStoreRecovered() {
        storeRecoveredAt = time.nanoTime();
    }

    /** Prepares for contents of the store that are older than what is known here. */
    void onStoreRestored() {
        outdatedRecords.onStoreRestored();
    }

    /** Returns records of the restored store that must be used now. */
    List<UpstreamRecord> takeDueRecords() {
        return outdatedRecords.takeDue();
    }

    /**
     * Replaces the list of upstreams; those that the new list does not name are removed.
     *
     * @return upstreams that were removed or replaced
     */
    List<UpstreamState> replaceAll(Collection<UpstreamRecord> records) {
        List<UpstreamState> discarded = new ArrayList<>();
        Set<String> named = new HashSet<>();
        outdatedRecords.clear();
        servedVersions.onListRead();
        for (UpstreamRecord r : records) {
            UpstreamState listed = states.get(r.id());
            boolean outdated = outdatedRecords.holdIfOutdated(r, listed);
            if (outdated) {
                LOG.infof("event=upstream-record-outdated upstream=%s", r.id());
            } else {
                discarded.addAll(put(r));
            }
            if (!outdated || listed != null && listed.upstreamRecord().sameIncarnation(r)) {
                named.add(r.id());
            }
        }
        for (String id : List.copyOf(states.keySet())) {
            if (!named.contains(id)) {
                discarded.addAll(dropOrKeep(id));
            }
        }
        servedVersions.onListed(
                states.values().stream().map(UpstreamState::upstreamRecord).toList());
        return discarded;
    }

    /**
     * Returns whether a record changes anything that routing depends on apart from the models and
     * adapters held, or was missing: other instances would remove the upstream if they did not read
     * that it has been published again.
     */
    boolean isNews(UpstreamRecord r) {
        UpstreamState known = states.get(r.id());
        return known == null
                || lapsedKeptUntil.containsKey(r.id())
                || !known.upstreamRecord().hasSameRouting(r);
    }

    /**
     * Adds or updates one record. Returns the state of the earlier incarnation if it was replaced.
     */
    List<UpstreamState> put(UpstreamRecord r) {
        lapsedKeptUntil.remove(r.id());
        outdatedRecords.onPublished(r.id());
        UpstreamState state = states.get(r.id());
        if (state != null) {
            servedVersions.onChanged(state.upstreamRecord(), r);
        }
        if (state != null && state.upstreamRecord().sameIncarnation(r)) {
            if (r.draining() && !state.upstreamRecord().draining()) {
                LOG.infof(
                        "event=upstream-draining upstream=%s service=%s source=record",
                        r.id(), r.service());
            }
            state.update(r);
            servedVersions.onListed(r);
            return List.of();
        }
        LOG.infof(
                "event=upstream-listed upstream=%s service=%s address=%s:%d started-ms=%d",
                r.id(), r.service(), r.host(), r.port(), r.startedAtMs());
        UpstreamState listed = new UpstreamState(r, time);
        states.put(r.id(), listed);
        byHash.put(listed.shortHash(), listed);
        servedVersions.onListed(r);
        return state == null ? List.of() : List.of(state);
    }

    /**
     * Removes an upstream whose record is gone. Shortly after an outage of the store the record may
     * have lapsed although the upstream lives, so the upstream is kept until the grace period has
     * passed.
     */
    List<UpstreamState> remove(String id) {
        outdatedRecords.onRemoved(id);
        return dropOrKeep(id);
    }

    private List<UpstreamState> dropOrKeep(String id) {
        if (!states.containsKey(id)) {
            return List.of();
        }
        if (time.nanoTime() - storeRecoveredAt < recoveryGrace.toNanos()) {
            long until = storeRecoveredAt + recoveryGrace.toNanos();
            if (lapsedKeptUntil.put(id, until) == null) {
                LOG.infof(
                        "event=upstream-lapsed upstream=%s action=keep-until-grace-period-ends",
                        id);
            }
            return List.of();
        }
        return drop(id);
    }

    /** Removes lapsed upstreams whose grace period has passed. */
    List<UpstreamState> onTick() {
        List<UpstreamState> discarded = new ArrayList<>();
        if (!lapsedKeptUntil.isEmpty()) {
            long now = time.nanoTime();
            for (String id : List.copyOf(lapsedKeptUntil.keySet())) {
                if (now - lapsedKeptUntil.get(id) >= 0) {
                    discarded.addAll(drop(id));
                }
            }
        }
        return discarded;
    }

    private List<UpstreamState> drop(String id) {
        lapsedKeptUntil.remove(id);
        UpstreamState state = states.remove(id);
        if (state != null) {
            byHash.remove(state.shortHash(), state);
            outdatedRecords.onDeparted(state.upstreamRecord());
            servedVersions.onDeparted(state.upstreamRecord());
            servedVersions.onRemoved(id);
        }
        LOG.infof("event=upstream-gone upstream=%s", id);
        return state == null ? List.of() : List.of(state);
    }

    /** Returns the state of an upstream; null if it is not listed. */
    UpstreamState get(String id) {
        return states.get(id);
    }

    /** Returns the state of the upstream with the given short hash; null if none is listed. */
    UpstreamState get(int shortHash) {
        return byHash.get(shortHash);
    }

    /** Records the loads that another instance reports. They replace its earlier loads. */
    void setPeerLoads(String peer, Collection<UpstreamLoad> loads, long validUntil) {
        Set<UpstreamState> named = new HashSet<>();
        for (UpstreamLoad load : loads) {
            UpstreamState u = get(load.getUpstreamHash());
            if (u != null) {
                named.add(u);
                u.setPeerLoad(peer, UpstreamState.PeerLoad.of(load, validUntil));
            }
        }
        for (UpstreamState u : all()) {
            if (!named.contains(u)) {
                u.removePeerLoad(peer);
            }
        }
    }

    Collection<UpstreamState> all() {
        return states.values();
    }

    /**
     * Returns the upstreams of a service that accept new requests. Those whose records are missing
     * since an outage are used only if they are the majority: an outage makes many records lapse,
     * while a single one that is missing is more likely that of an upstream that has left.
     */
    List<UpstreamState> available(String service) {
        List<UpstreamState> listed = new ArrayList<>();
        List<UpstreamState> lapsed = new ArrayList<>();
        for (UpstreamState s : states.values()) {
            if (s.upstreamRecord().service().equals(service) && s.acceptsRequests()) {
                (lapsedKeptUntil.containsKey(s.id()) ? lapsed : listed).add(s);
            }
        }
        if (lapsed.size() > listed.size()) {
            listed.addAll(lapsed);
        }
        return listed;
    }

    /** Returns the upstreams that accept new requests and may answer a call. */
    List<UpstreamState> availableTo(ForwardCall call) {
        return availableTo(call, IncarnationCheck::isCertain);
    }

    /**
     * Returns the upstreams that accept new requests and may answer a call.
     *
     * @param isTrusted whether the version that an upstream's record states is relied on
     */
    private List<UpstreamState> availableTo(
            ForwardCall call, Predicate<IncarnationCheck> isTrusted) {
        List<UpstreamState> found = available(call.request().service());
        Option<String> version = versionFor(call);
        found.removeIf(
                u -> {
                    boolean trusted = isTrusted.test(u.incarnation());
                    String stated = u.upstreamRecord().softwareVersion();
                    boolean mayBegin = version.forAll(v -> trusted && stated.equals(v));
                    return !mayBegin || !call.stream().allows(u, trusted);
                });
        return found;
    }

    /**
     * Returns the software version at which the stream of a call must begin, so that it can be told
     * later where it began; empty if the call begins no stream or any version may.
     */
    Option<String> versionFor(ForwardCall call) {
        ForwardRequest r = call.request();
        boolean begins =
                r.route().kind() == RequestKind.RESUMABLE_STREAM
                        && r.resumed().isEmpty()
                        && !call.stream().isBound();
        return begins ? versionFor(r.service(), r.id()) : Option.none();
    }

    /**
     * Returns the software version at which the stream of a request to a service must begin; empty
     * if any may.
     */
    Option<String> versionFor(String service, String request) {
        return servedVersions.versionFor(service, request);
    }

    /** Returns whether an upstream other than those that have failed a call may serve it. */
    boolean hasAlternative(ForwardCall call) {
        return availableTo(call).stream()
                .anyMatch(
                        u ->
                                u != call.upstream()
                                        && !u.health().isPaused()
                                        && !call.excluded().contains(u));
    }

    /** Returns whether an upstream is listed to which a call may be sent, now or later. */
    boolean hasUpstreamFor(ForwardCall call) {
        List<UpstreamState> found = availableTo(call, IncarnationCheck::isLikely);
        Duration mayWait = Duration.ofNanos(call.queueDeadlineNanos() - time.nanoTime());
        found.removeIf(u -> u.health().requestedPauseLeft().compareTo(mayWait) > 0);
        return call.excluded().allowAnyOf(found);
    }

    /** Returns how long all upstreams that may answer a call still want no requests. */
    Duration shortestRequestedPause(ForwardCall call) {
        return availableTo(call).stream()
                .map(u -> u.health().requestedPauseLeft())
                .min(Duration::compareTo)
                .filter(pause -> !pause.isNegative())
                .orElse(Duration.ZERO);
    }

    /** Adds the history of the time before the upstreams were first read. */
    void onHistory(List<UpstreamHistoryEntry> entries) {
        servedVersions.onHistory(entries);
    }

    /** Records that no history can be read. */
    void onHistoryUnavailable() {
        servedVersions.onHistoryUnavailable();
    }

    /** Returns whether the history has been read, or cannot be read. */
    boolean isHistoryRead() {
        return servedVersions.isHistoryRead();
    }

    /**
     * Returns the software version of a service if no other one is known to have served it within a
     * time before now, and the upstreams have been observed for long enough.
     *
     * @param observation shortest time for which the upstreams must have been observed
     */
    Option<String> onlyVersion(String service, Duration window, Duration observation) {
        return servedVersions.onlyVersion(service, listedVersions(service), window, observation);
    }

    /**
     * Returns the software version of a service if no other one is known to have served it within a
     * time before now.
     */
    Option<String> onlyKnownVersion(String service, Duration window) {
        return servedVersions.onlyKnownVersion(service, listedVersions(service), window);
    }

    /**
     * Returns the software version at which the stream of a request has begun, if the versions that
     * have served its service since a time lead to a single one.
     *
     * @param sinceNanos monotonic time
     * @param window time within which no other version may have served the service
     */
    Option<String> versionSince(String service, String request, long sinceNanos, Duration window) {
        return servedVersions.versionSince(
                service, request, sinceNanos, listedVersions(service), window);
    }

    private Set<String> listedVersions(String service) {
        Set<String> versions = new HashSet<>();
        for (UpstreamState s : states.values()) {
            if (s.upstreamRecord().service().equals(service)) {
                versions.add(s.upstreamRecord().softwareVersion());
            }
        }
        return versions;
    }

    /** Returns whether an upstream of a service accepts new requests. */
    boolean isServed(String service) {
        return !available(service).isEmpty();
    }

    /** Returns the engines to which orders can be sent. */
    Map<UpstreamState, EngineSpec> engines(RoutingConfiguration configuration) {
        Map<UpstreamState, EngineSpec> found = new HashMap<>();
        for (UpstreamState u : all()) {
            configuration
                    .service(u.upstreamRecord().service())
                    .flatMap(ServiceSpec::engine)
                    .filter(e -> !u.isMisaddressed())
                    .forEach(e -> found.put(u, e));
        }
        return found;
    }
}
