package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.UpstreamLoad;
import org.jboss.logging.Logger;

/**
 * State of one upstream as known to this instance: its record, load, adapters and request outcomes.
 */
final class UpstreamState {

    private static final Logger LOG = Logger.getLogger(UpstreamState.class);

    /**
     * Time after an order or a call could not reach the upstream in which no new calls wait for
     * adapters there. In this time the claim holder reads the report of the engine about twice.
     */
    private static final Duration ADAPTER_WAIT_PAUSE = Duration.ofMillis(500);

    private final TimeSource time;
    private final OutcomeHealth health;
    private final IncarnationCheck incarnation;
    private final RejectionLimit rejectionLimit;
    private final Map<String, PeerLoad> peerLoads = new HashMap<>();
    private final Map<String, PeerUsage> peerUses = new HashMap<>();
    private final Map<AdapterRef, Integer> ownUses = new HashMap<>();
    private final Map<AdapterRef, Integer> resident = new HashMap<>();
    private final Map<AdapterRef, Integer> loading = new HashMap<>();
    private final RecentAdapters recentAdapters = new RecentAdapters();
    private final Set<String> models = new HashSet<>();
    private UpstreamRecord upstreamRecord;
    private long recordReadAt;
    private final long nameHash;
    private int inventoryVersion;
    private long inventoryFencing;
    private final Map<AdapterRef, Integer> awaited = new HashMap<>();
    private int waitingRequests;
    private final IdleSlots idleSlots;
    private boolean misaddressed;
    private boolean statedLeaving;
    private long adapterWaitsPausedUntil;
    private int requests;
    private long tokens;
    private long unreadTokens;

    /**
     * Load that another instance has sent to the upstream, or that a collector reports for other
     * instances.
     */
    record PeerLoad(int requests, long tokens, long unreadTokens, long validUntil) {

        private static final PeerLoad NONE = new PeerLoad(0, 0, 0, 0);

        /** Upper limits of reported counts, so that sums of implausible counts do not overflow. */
        private static final long MAX_TOKENS = 1_000_000_000L;

        private static final int MAX_REQUESTS = 1_000_000;

        static PeerLoad of(UpstreamLoad load, long validUntil) {
            return new PeerLoad(
                    Math.max(0, Math.min(load.getRequests(), MAX_REQUESTS)),
                    Math.max(0, Math.min(load.getTokens(), MAX_TOKENS)),
                    Math.max(0, Math.min(load.getUnreadTokens(), MAX_TOKENS)),
                    validUntil);
        }
    }

    private record PeerUsage(Set<AdapterRef> adapters, long validUntil) {}

    UpstreamState(UpstreamRecord upstreamRecord, TimeSource time) {
        this.upstreamRecord = upstreamRecord;
        this.time = time;
        this.recordReadAt = time.nanoTime();
        this.nameHash = RendezvousHash.nameHash(upstreamRecord.id());
        this.health = new OutcomeHealth(time);
        this.incarnation = new IncarnationCheck(time);
        this.rejectionLimit = new RejectionLimit(time);
        this.idleSlots = new IdleSlots(time);
        this.adapterWaitsPausedUntil = time.nanoTime();
        models.addAll(upstreamRecord.models());
        resident.putAll(upstreamRecord.adapters());
    }

    UpstreamRecord upstreamRecord() {
        return upstreamRecord;
    }

    /** Returns the time in ms since the record was read. */
    long recordAgeMillis() {
        return (time.nanoTime() - recordReadAt) / 1_000_000;
    }

    /** Returns the hash of the identifier for rendezvous hashing. */
    long nameHash() {
        return nameHash;
    }

    /** Returns the part of the hash that identifies the upstream in load shares. */
    int shortHash() {
        return (int) nameHash;
    }

    String id() {
        return upstreamRecord.id();
    }

    /** Returns a key that differs for each incarnation. */
    String incarnationKey() {
        return upstreamRecord.id() + "/" + upstreamRecord.startedAtMs();
    }

    OutcomeHealth health() {
        return health;
    }

    RejectionLimit rejectionLimit() {
        return rejectionLimit;
    }

    /**
     * Records what the upstream states about itself.
     *
     * @param instances number of live instances
     */
    void onNotice(UpstreamNotice notice, int instances) {
        if (notice.leaving() && setLeaving()) {
            LOG.infof(
                    "event=upstream-draining upstream=%s service=%s source=answer",
                    id(), upstreamRecord.service());
        }
        notice.rejectionLimit().forEach(n -> rejectionLimit.onStated(n, instances));
        notice.pause().forEach(pause -> pause(pause, "stated"));
    }

    /** Records that the upstream has rejected a request for want of room. */
    void onRejected(RandomGenerator random) {
        if (rejectionLimit.isInForce()) {
            pause(rejectionLimit.pauseAfterRejection(random), "rejection-limit");
        }
    }

    private void pause(Duration time, String reason) {
        health.onPauseRequested(time);
        LOG.infof(
                "event=upstream-pause upstream=%s pause-ms=%d reason=%s",
                id(), time.toMillis(), reason);
    }

    IncarnationCheck incarnation() {
        return incarnation;
    }

    /** Returns whether a report is of a later start than that of the record. */
    boolean isOfLaterStart(InventoryReport report) {
        return upstreamRecord.startedAtMs() != 0
                && report.startedAtMs() > upstreamRecord.startedAtMs();
    }

    /** Records that the upstream has been started again, and that its record is not read yet. */
    void onLaterStart() {
        LOG.infof("event=upstream-restarted upstream=%s source=report", id());
        incarnation.onLaterStart();
    }

    /** Updates the state from a newer record of the same incarnation. */
    void update(UpstreamRecord newer) {
        boolean modelsChanged = !newer.models().equals(upstreamRecord.models());
        upstreamRecord = newer;
        recordReadAt = time.nanoTime();
        incarnation.onRecord();
        // Reports may show a load before the record does, so later records do not change the
        // adapters.
        if (modelsChanged) {
            setModels(newer.models());
        }
    }

    /**
     * Counts a request that was assigned to the upstream. Returns whether it is the first one of
     * this instance that uses its adapter.
     */
    boolean addRequest(ForwardRequest request) {
        requests++;
        tokens += request.tokens();
        return request.adapter().exists(a -> ownUses.merge(a, 1, Integer::sum) == 1);
    }

    /**
     * Removes a request that is no longer assigned to the upstream. Returns whether it was the last
     * one of this instance that used its adapter.
     */
    boolean removeRequest(ForwardRequest request) {
        requests--;
        tokens -= request.tokens();
        return request.adapter()
                .exists(a -> ownUses.computeIfPresent(a, (k, n) -> n > 1 ? n - 1 : null) == null);
    }

    /** Records that a prompt has been sent to the upstream. */
    void beginPrompt(long promptTokens) {
        unreadTokens += promptTokens;
    }

    /** Records that the upstream has read a prompt, or will not read it. */
    void endPrompt(long promptTokens) {
        unreadTokens -= promptTokens;
    }

    long ownUnreadTokens() {
        return unreadTokens;
    }

    /** Returns the prompt tokens of all instances that the upstream has not read yet. */
    long totalUnreadTokens() {
        return unreadTokens + peerLoads.values().stream().mapToLong(PeerLoad::unreadTokens).sum();
    }

    int ownRequests() {
        return requests;
    }

    long ownTokens() {
        return tokens;
    }

    Set<AdapterRef> ownAdapters() {
        return ownUses.keySet();
    }

    /** Returns the message for a load of this upstream. */
    UpstreamLoad toMessage(int sentRequests, long sentTokens, long sentUnreadTokens) {
        return UpstreamLoad.newBuilder()
                .setUpstreamHash(shortHash())
                .setRequests(sentRequests)
                .setTokens(sentTokens)
                .setUnreadTokens(sentUnreadTokens)
                .build();
    }

    void setPeerLoad(String peer, PeerLoad load) {
        peerLoads.put(peer, load);
    }

    void removePeerLoad(String peer) {
        peerLoads.remove(peer);
    }

    /** Returns the load that another instance has reported; zero if it has reported none. */
    PeerLoad peerLoad(String peer) {
        return peerLoads.getOrDefault(peer, PeerLoad.NONE);
    }

    /**
     * Records which adapters the requests of another instance use. Returns those that its requests
     * have begun or ceased to use.
     */
    Set<AdapterRef> setPeerUses(String peer, Set<AdapterRef> adapters, long validUntil) {
        PeerUsage previous =
                adapters.isEmpty()
                        ? peerUses.remove(peer)
                        : peerUses.put(peer, new PeerUsage(adapters, validUntil));
        Set<AdapterRef> changed = new HashSet<>(adapters);
        if (previous != null) {
            for (AdapterRef a : previous.adapters()) {
                if (!changed.remove(a)) {
                    changed.add(a);
                }
            }
        }
        return changed;
    }

    /** Returns the number of requests of all instances that were assigned to the upstream. */
    int totalRequests() {
        removeExpired();
        return requests + peerLoads.values().stream().mapToInt(PeerLoad::requests).sum();
    }

    /** Returns the tokens of the requests of all instances that were assigned to the upstream. */
    long totalTokens() {
        return tokens + peerLoads.values().stream().mapToLong(PeerLoad::tokens).sum();
    }

    /** Returns whether a request of any instance uses the adapter. */
    boolean isUsed(AdapterRef adapter) {
        return ownUses.containsKey(adapter)
                || peerUses.values().stream()
                        .anyMatch(
                                p ->
                                        p.validUntil() - time.nanoTime() >= 0
                                                && p.adapters().contains(adapter));
    }

    private void removeExpired() {
        long now = time.nanoTime();
        peerLoads.values().removeIf(p -> p.validUntil() - now < 0);
        peerUses.values().removeIf(p -> p.validUntil() - now < 0);
    }

    /**
     * Records that the address now belongs to another upstream. Returns whether that was not known
     * yet.
     */
    boolean setMisaddressed() {
        boolean changed = !misaddressed;
        misaddressed = true;
        return changed;
    }

    boolean isMisaddressed() {
        return misaddressed;
    }

    /** Returns whether new requests may be sent to the upstream. */
    boolean acceptsRequests() {
        return !misaddressed && !isLeaving();
    }

    /**
     * Records that the upstream has stated in an answer that it is leaving. Later records that do
     * not say so are out of date, so this holds for the whole incarnation. Returns whether it was
     * not known yet.
     */
    boolean setLeaving() {
        boolean changed = !isLeaving();
        statedLeaving = true;
        return changed;
    }

    /** Returns whether the upstream is about to leave. */
    boolean isLeaving() {
        return statedLeaving || upstreamRecord.draining();
    }

    boolean holdsModel(String model) {
        return models.contains(model);
    }

    /** Returns a number that increases whenever the inventory of the upstream changes. */
    int inventoryVersion() {
        return inventoryVersion;
    }

    /**
     * Returns the fencing number of the claim under which another instance reported the inventory.
     */
    long inventoryFencing() {
        return inventoryFencing;
    }

    void setInventoryFencing(long fencing) {
        inventoryFencing = fencing;
    }

    void setModels(Set<String> newModels) {
        inventoryVersion += models.equals(newModels) ? 0 : 1;
        models.clear();
        models.addAll(newModels);
    }

    Set<String> models() {
        return models;
    }

    /** Replaces the adapters, as known to the claim holder or from a report. */
    void setAdapters(Map<AdapterRef, Integer> newResident, Map<AdapterRef, Integer> newLoading) {
        inventoryVersion += resident.equals(newResident) && loading.equals(newLoading) ? 0 : 1;
        resident.clear();
        resident.putAll(newResident);
        newResident.keySet().forEach(recentAdapters::add);
        loading.clear();
        loading.putAll(newLoading);
    }

    void setResident(AdapterRef adapter, int version) {
        inventoryVersion++;
        resident.put(adapter, version);
        recentAdapters.add(adapter);
        loading.remove(adapter);
    }

    void setAbsent(AdapterRef adapter) {
        inventoryVersion++;
        resident.remove(adapter);
        loading.remove(adapter);
    }

    /**
     * Returns whether the upstream held the adapter recently. It then probably has a local copy and
     * loads it without the weight store.
     */
    boolean heldRecently(AdapterRef adapter) {
        return recentAdapters.contains(adapter);
    }

    /**
     * Returns the version of the adapter that the upstream holds; empty if it does not hold the
     * adapter.
     */
    Option<Integer> residentVersion(AdapterRef adapter) {
        return Option.of(resident.get(adapter));
    }

    boolean holds(AdapterRef adapter, int minVersion) {
        Integer version = resident.get(adapter);
        return version != null && version >= minVersion;
    }

    /** Returns whether the adapter is being loaded, or requests of this instance wait for it. */
    boolean isLoadingOrAwaited(AdapterRef adapter) {
        return loading.containsKey(adapter) || awaited.containsKey(adapter);
    }

    /** Returns whether the claim holder reports that the adapter is being loaded. */
    boolean isReportedLoading(AdapterRef adapter) {
        return loading.containsKey(adapter);
    }

    /** Stops new waits for adapters at this upstream for {@link #ADAPTER_WAIT_PAUSE}. */
    void pauseAdapterWaits() {
        adapterWaitsPausedUntil = time.nanoTime() + ADAPTER_WAIT_PAUSE.toNanos();
    }

    boolean areAdapterWaitsPaused() {
        return time.nanoTime() - adapterWaitsPausedUntil < 0;
    }

    /** Returns the adapter slots that can be given to further adapters. */
    IdleSlots idleSlots() {
        return idleSlots;
    }

    /** Records that a request waits for an adapter here. */
    void beginAdapterWait(AdapterRef adapter) {
        if (!isLoadingOrAwaited(adapter)) {
            idleSlots.take();
        }
        awaited.merge(adapter, 1, Integer::sum);
        waitingRequests++;
    }

    /** Records that a request no longer waits for an adapter here. */
    void endAdapterWait(AdapterRef adapter) {
        awaited.computeIfPresent(adapter, (a, n) -> n > 1 ? n - 1 : null);
        waitingRequests--;
    }

    /**
     * Returns the number of requests of all instances that were assigned to the upstream, without
     * those of this instance that wait for an adapter.
     */
    int requestsExceptOwnWaiting() {
        return totalRequests() - waitingRequests;
    }

    /** Returns the adapters that the upstream is loading, or those that it holds. */
    Map<AdapterRef, Integer> adapters(boolean beingLoaded) {
        return beingLoaded ? loading : resident;
    }

    int loadingCount() {
        return loading.size();
    }
}
