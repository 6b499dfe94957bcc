package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.jboss.logging.Logger;

/** Routes the requests of callers to upstreams, and keeps the state that routing depends on. */
public final class Forwarder {

    private static final Logger LOG = Logger.getLogger(Forwarder.class);

    /** Adapter load time assumed until a load has been measured. */
    private static final Duration INITIAL_LOAD_TIME = Duration.ofMillis(300);

    /** Largest number of requests of other instances that are served at once. */
    private static final int MAX_RELAYED_CALLS = 256;

    private final ForwardSettings settings;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Membership membership;
    private final Effects out;
    private final ForwardListener listener;
    private final UpstreamTable upstreams;
    private final CallPlacement placement;
    private final RetryAllowances retries;
    private final AdapterWaits waits;
    private final AdapterLoadCoordinator loadCoordinator;
    private final CrashDetector crashDetector;
    private final EngineController controller;
    private final LoadExchange loadExchange;
    private final SharedStoreState storeState;
    private final ResumedStreams resumedStreams;
    private final IncarnationReports incarnationReports;
    private final Relays relays;
    private final CallQueues queues;
    private final WaitingCallTimer waitingCallTimer;
    private final AdapterVersions adapterVersions = new AdapterVersions();
    private final LatencyModels latencies =
            new LatencyModels(new AdapterWaitModel(INITIAL_LOAD_TIME));
    private final Set<ForwardCall> openCalls = new HashSet<>();
    private final CallerLimitHistory callerLimits = new CallerLimitHistory();
    private RoutingConfiguration configuration = RoutingConfiguration.NONE;
    private Map<UpstreamState, EngineSpec> engines = Map.of();
    private long sequence;
    private PlannedStop stop = PlannedStop.NONE;
    private boolean enginesChanged;

    private Forwarder(ForwardSettings settings, ForwardPorts ports, RandomGenerator random) {
        this.settings = settings;
        this.time = ports.time();
        this.scheduler = ports.scheduler();
        this.random = random;
        this.membership = ports.membership();
        this.out = ports.out();
        this.listener = ports.listener();
        this.upstreams =
                new UpstreamTable(
                        time, settings.storeRecoveryGrace(), settings.upstreamHeartbeat());
        this.waitingCallTimer = new WaitingCallTimer(scheduler, this::checkWaitingCalls);
        this.queues = new CallQueues(time, this::choose, upstreams);
        this.retries = new RetryAllowances(settings, time);
        this.waits = new AdapterWaits(time, latencies.adapterWait());
        this.loadCoordinator =
                new AdapterLoadCoordinator(settings.instance(), upstreams, waits, out, time);
        this.crashDetector =
                CrashDetector.create(settings.instance(), ports, this::livePeers, random);
        this.controller =
                new EngineController(
                        membership,
                        settings,
                        ports.orders(),
                        time,
                        scheduler,
                        INITIAL_LOAD_TIME,
                        loadCoordinator);
        loadCoordinator.connect(controller, this::onMisaddressed);
        this.storeState = new SharedStoreState(time);
        this.resumedStreams = new ResumedStreams(ports, upstreams, storeState);
        this.incarnationReports = new IncarnationReports(ports, upstreams, queues);
        this.relays = new Relays(settings, ports, random, () -> configuration.version());
        this.placement =
                new CallPlacement(
                        time,
                        random,
                        upstreams,
                        new UpstreamChooser(settings.dataCentre(), random),
                        latencies,
                        queues,
                        adapterVersions,
                        relays.reachability(),
                        this::configuration);
        this.loadExchange =
                new LoadExchange(
                        membership,
                        upstreams,
                        controller,
                        time,
                        storeState,
                        loadCoordinator::onUseChanged);
    }

    /** Creates a forwarder without configuration or upstreams. */
    public static Forwarder create(
            ForwardSettings settings, ForwardPorts ports, RandomGenerator random) {
        return new Forwarder(settings, ports, random);
    }

    private Collection<String> livePeers() {
        return membership.peers().stream().filter(p -> p.status().isLive()).map(Peer::id).toList();
    }

    /** Returns the state of the store, as the instances report it to each other. */
    public SharedStoreState sharedStoreState() {
        return storeState;
    }

    /** Applies a configuration unless a newer one is in force; returns whether it is in force. */
    public boolean onConfiguration(RoutingConfiguration newConfiguration) {
        if (newConfiguration.version() <= configuration.version()) {
            return newConfiguration.version() == configuration.version();
        }
        LOG.infof(
                "event=configuration version=%d previous=%d",
                newConfiguration.version(), configuration.version());
        configuration = newConfiguration;
        callerLimits.onChange(configuration.limits(), now());
        enginesChanged = true;
        return true;
    }

    public RoutingConfiguration configuration() {
        return configuration;
    }

    public CallerLimitHistory callerLimits() {
        return callerLimits;
    }

    /** Replaces the list of upstreams. */
    public void onUpstreams(Collection<UpstreamRecord> records) {
        upstreams.replaceAll(records).forEach(this::onUpstreamDiscarded);
        enginesChanged = true;
    }

    /** Adds or updates a record; returns whether all instances must know of it soon. */
    public boolean onUpstream(UpstreamRecord newRecord) {
        boolean routingChanged = upstreams.isNews(newRecord);
        upstreams.put(newRecord).forEach(this::onUpstreamDiscarded);
        enginesChanged |= routingChanged;
        queues.dispatch(newRecord.service());
        return routingChanged;
    }

    /** Removes an upstream whose record is gone. */
    public void onUpstreamRemoved(String id) {
        upstreams.remove(id).forEach(this::onUpstreamDiscarded);
    }

    /**
     * Adds the changes of upstreams before their list was first read.
     *
     * @param entries all changes since some moment, in the order in which they were made; the
     *     changes since the list was read may be among them
     */
    public void onUpstreamHistory(List<UpstreamHistoryEntry> entries) {
        upstreams.onHistory(entries);
    }

    /** Records that the changes of upstreams before the first read are not known. */
    public void onUpstreamHistoryUnavailable() {
        upstreams.onHistoryUnavailable();
    }

    /** Handles the recovery of the store after an outage. */
    public void onStoreRecovered() {
        upstreams.onStoreRecovered();
        storeState.onRecovered();
    }

    /** Handles the return of the store from an older copy, before its contents are applied. */
    public void onStoreRestored() {
        upstreams.onStoreRestored();
        onStoreRecovered();
    }

    private void onUpstreamDiscarded(UpstreamState discarded) {
        enginesChanged = true;
        controller.release(discarded);
        crashDetector.onUpstreamDown(discarded);
        loadCoordinator.onUpstreamDiscarded(discarded);
    }

    /** Updates the newest known version of an adapter; returns whether this one is the newest. */
    public boolean onAdapterVersion(AdapterRef adapter, int version) {
        return adapterVersions.update(adapter, version);
    }

    public int upstreamCount() {
        return upstreams.all().size();
    }

    /** Returns the known number of requests of all instances at an upstream. */
    int requestsAt(String upstream) {
        return upstreams.get(upstream).totalRequests();
    }

    /** Returns whether a request of any instance is known to use the adapter at an upstream. */
    boolean usesAdapter(String upstream, AdapterRef adapter) {
        return upstreams.get(upstream).isUsed(adapter);
    }

    Option<String> claimHolder(String upstream) {
        return controller.claims().holder(upstream);
    }

    /** Returns whether this instance may send orders to an upstream now. */
    boolean maySendOrdersTo(String upstream) {
        return controller.claims().fencing(upstream).isDefined();
    }

    /** Opens a call, and sends it to an upstream, queues it or refuses it. */
    public void open(ForwardRequest request, CallTransport transport) {
        retries.onRequest(request.service());
        ForwardCall call = new ForwardCall(request, transport, this, sequence++);
        openCalls.add(call);
        transport.onOpened(call);
        call.start();
    }

    /** Returns the number of calls that have not ended. */
    public int openCalls() {
        return openCalls.size();
    }

    long now() {
        return time.nanoTime();
    }

    Scheduler.Timer after(Duration delay, Runnable task) {
        return scheduler.after(delay, task);
    }

    private Option<UpstreamChooser.Choice> choose(ForwardCall call) {
        return placement.choose(call);
    }

    CallPlacement placement() {
        return placement;
    }

    Reachability reachability() {
        return relays.reachability();
    }

    /** Returns the relaying of requests between instances. */
    public Relays relays() {
        return relays;
    }

    /** Returns whether another request that was relayed to this instance may be served. */
    boolean mayServeRelayed() {
        return openCalls.stream().filter(ForwardCall::isRelayedHere).count() <= MAX_RELAYED_CALLS;
    }

    void enterQueue(ForwardCall call) {
        queues.of(call).add(call);
        waitingCallTimer.start();
    }

    CallQueues queues() {
        return queues;
    }

    boolean tryTakeRetry(ForwardRequest request) {
        return retries.tryTake(request.service());
    }

    UpstreamTable upstreams() {
        return upstreams;
    }

    LatencyModels latencies() {
        return latencies;
    }

    /**
     * Records what an upstream states about itself. Other instances are not told: they learn it
     * from the upstream's record or from answers of their own.
     */
    void onNotice(UpstreamState upstream, UpstreamNotice notice) {
        upstream.onNotice(notice, membership.live().size());
    }

    void onOutcome(ForwardCall call, boolean succeeded) {
        call.upstream().health().onOutcome(succeeded);
    }

    IncarnationReports incarnationReports() {
        return incarnationReports;
    }

    void onUnreachable(ForwardCall call) {
        UpstreamState upstream = call.upstream();
        upstream.health().onUnreachable();
        relays.reachability().onConnectFailed(upstream, upstreams.all());
        incarnationReports.onUnreachable(upstream);
        crashDetector.onUpstreamDown(upstream);
        loadCoordinator.endWaits(upstream);
    }

    /**
     * Records the first byte of an answer.
     *
     * @param took time in ns since the request was sent
     * @param unreadTokens prompt tokens that the upstream had not read when the request was sent
     */
    void onFirstByte(ForwardCall call, long took, long unreadTokens) {
        queues.of(call).serviceRate().onAnswerBegun();
        latencies.onFirstByte(call.request(), took, unreadTokens);
    }

    void onCompleted(ForwardCall call, int status) {
        if (status < 500) {
            crashDetector.onCompleted(call.request());
        }
        listener.completed(
                call.request(), status, Duration.ofNanos(now() - call.request().arrivedNanos()));
    }

    /** Records that another instance has answered a call with the answer of an upstream. */
    void onRelayed(ForwardRequest request, int status) {
        listener.completed(request, status, Duration.ofNanos(now() - request.arrivedNanos()));
    }

    void onNotCompleted(ForwardRequest request, ResultCode code) {
        listener.notCompleted(request, code, Duration.ofNanos(now() - request.arrivedNanos()));
    }

    ResumedStreams resumedStreams() {
        return resumedStreams;
    }

    void onEnded(ForwardCall call) {
        openCalls.remove(call);
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    /**
     * Stops using an upstream whose address now belongs to another upstream. The upstream stays in
     * the table until the platform removes its record.
     */
    private void onMisaddressed(UpstreamState upstream) {
        if (upstream.setMisaddressed()) {
            LOG.infof("event=upstream-misaddressed upstream=%s", upstream.id());
            crashDetector.onUpstreamDown(upstream);
            loadCoordinator.onUpstreamDiscarded(upstream);
            enginesChanged = true;
        }
    }

    /** Records that requests of this instance have begun or ceased to use an adapter. */
    void onAdapterUseChanged(UpstreamState upstream, AdapterRef adapter) {
        loadCoordinator.onUseChanged(upstream.id(), adapter);
        loadExchange.onAdapterUseChanged(upstream, out);
    }

    void awaitAdapter(ForwardCall call) {
        loadCoordinator.awaitAdapter(call, placement.requiredVersion(call.request()).getOrElse(0));
        waitingCallTimer.start();
    }

    void onAdapterWaitAbandoned(ForwardCall call) {
        loadCoordinator.onWaitAbandoned(call);
    }

    /** Records why the upstream of a call has not run the request. */
    void onNotRun(ForwardCall call, NotRunCause cause) {
        if (cause == NotRunCause.REFUSED) {
            call.upstream().onRejected(random);
        }
        if (cause == NotRunCause.ADAPTER_MISSING) {
            loadCoordinator.onAdapterMissing(call);
        } else if (cause == NotRunCause.MISADDRESSED) {
            onMisaddressed(call.upstream());
        }
    }

    /** Handles a message from another instance. */
    public void onMessage(Envelope envelope) {
        String from = envelope.getFrom();
        relays.peerConfigurations().onMessage(envelope);
        switch (envelope.getBodyCase()) {
            case LOAD_SHARE -> {
                loadExchange.onShare(from, envelope.getLoadShare(), out);
                loadCoordinator.onAdaptersUpdated();
            }
            case LOAD_DIGEST -> {
                loadExchange.onDigest(from, envelope.getLoadDigest());
                loadCoordinator.onAdaptersUpdated();
            }
            case ADAPTER_USES -> loadExchange.onAdapterUses(from, envelope.getAdapterUses());
            case ADAPTER_WANTED -> loadCoordinator.onLoadRequest(from, envelope.getAdapterWanted());
            case ADAPTER_STATE -> loadCoordinator.onAdapterState(envelope.getAdapterState());
            case BEGUN_STREAMS, BEGUN_STREAM_QUERY, BEGUN_STREAM_REPLY ->
                    resumedStreams.exchange().onMessage(envelope);
            case RELAY_STATE -> relays.onMessage(envelope);
            case CRASH_MARKS, PART_CRASHES -> crashDetector.onMessage(envelope);
            default -> membership.onMessage(envelope, out);
        }
    }

    /** Runs periodic work; called about ten times a second. */
    public void onTick() {
        membership.onTick(out);
        crashDetector.onTick();
        retries.onTick(membership.live().size());
        relays.onTick(upstreams.all());
        resumedStreams.exchange().onTick();
        upstreams.onTick().forEach(this::onUpstreamDiscarded);
        upstreams.takeDueRecords().forEach(this::onUpstream);
        if (enginesChanged) {
            enginesChanged = false;
            engines = upstreams.engines(configuration);
        }
        controller.onTick(engines, !openCalls.isEmpty());
        loadExchange.onTick(out);
        queues.dispatchAll();
    }

    /** Returns whether calls still wait. */
    private boolean checkWaitingCalls() {
        loadCoordinator.onTick();
        if (relays.isIsolated()) {
            List.copyOf(openCalls).forEach(ForwardCall::relayIfWaiting);
        }
        queues.refuseHopeless(upstreams::isServed);
        queues.dispatchAll();
        return loadCoordinator.isWaiting() || !queues.isEmpty();
    }

    /**
     * Releases all claims because the process did not run for some time: other instances may have
     * taken over its engines.
     */
    public void onProcessPause() {
        LOG.info("event=process-pause action=release-claims");
        controller.claims().onProcessPause();
    }

    /**
     * Begins a planned stop: releases the claims and announces the departure to the other
     * instances.
     *
     * @param untilLastArrival time from which on arriving requests that may outlast the process are
     *     refused
     * @param untilEnd time at which {@link #endOpenCalls} will be called
     */
    public void drain(Duration untilLastArrival, Duration untilEnd) {
        if (stop == PlannedStop.NONE) {
            stop = PlannedStop.at(now(), untilLastArrival, untilEnd);
            scheduler.after(
                    Duration.ofNanos(Math.max(0, stop.lastSendNanos() - now())),
                    () -> List.copyOf(openCalls).forEach(ForwardCall::refuseIfExcluded));
            controller.claims().releaseAll("stop");
            loadExchange.onTick(out);
            relays.onStop(stop);
            membership.leave(out);
        }
    }

    /** Answers all open calls, because the process ends; returns how many there were. */
    public int endOpenCalls() {
        List<ForwardCall> open = List.copyOf(openCalls);
        open.forEach(ForwardCall::endAtStop);
        return open.size();
    }

    /** Returns whether a request may not be sent any more because of a planned stop. */
    boolean isExcludedByStop(ForwardRequest request, long openedAt) {
        return stop.excludes(request, openedAt, now());
    }
}
