package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzehill.core.crash.CrashRegistry;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.AdapterState;
import org.bronzehill.protocol.generated.AdapterWanted;
import org.bronzehill.protocol.generated.Envelope;
import org.jboss.logging.Logger;

/** Places the requests of callers at upstreams and keeps what the placement depends on. */
public final class Forwarder {

    private static final Logger LOG = Logger.getLogger(Forwarder.class);

    /** Sequence number of pings by which instances that have just started make themselves known. */
    private static final long GREETING = 0;

    /** Adapter load time assumed until one was measured. */
    private static final Duration EXPECTED_LOAD = Duration.ofMillis(300);

    /** Shortest time without a sign of an answer before an idempotent request is sent again. */
    private static final Duration MIN_PATIENCE = Duration.ofMillis(60);

    /** Times the usual latency after which an answer counts as stalled. */
    private static final int PATIENCE_FACTOR = 5;

    /** Time without an event after which a resumable stream goes on elsewhere. */
    private static final Duration EVENT_PATIENCE = Duration.ofMillis(1200);

    /** Breaks of connections that count as one crash if the upstream then cannot be reached. */
    private static final Duration CRASH_WINDOW = Duration.ofSeconds(2);

    /** Part of a caller's remaining time that it may be asked to wait before it comes back. */
    private static final double MAX_RETURN = 0.3;

    /** Shortest wait asked of a caller that is refused. */
    private static final Duration MIN_RETURN = Duration.ofMillis(50);

    private final ForwardSettings settings;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Membership membership;
    private final Effects out;
    private final ForwardListener listener;
    private final CrashRegistry crashes;
    private final UpstreamTable upstreams;
    private final UpstreamChooser chooser;
    private final RetryShares retries;
    private final AdapterWaits waits;
    private final OrderOffice office;
    private final LoadShares shares;
    private final Map<String, WaitingCalls> queues = new HashMap<>();
    private final Map<String, Latency> latencies = new HashMap<>();
    private final Map<AdapterRef, Integer> versions = new HashMap<>();
    private final PromptPace promptPace = new PromptPace();
    private final Set<ForwardCall> open = new HashSet<>();
    private final Map<String, List<Break>> breaks = new HashMap<>();
    private final Map<AdapterWaits.Key, Set<String>> waitingPeers = new HashMap<>();
    private RoutingConfiguration configuration = RoutingConfiguration.NONE;
    private long sequence;
    private boolean draining;

    private record Break(byte[] fingerprint, long atNanos) {}

    private Forwarder(ForwardSettings settings, ForwardPorts ports, RandomGenerator random) {
        this.settings = settings;
        this.time = ports.time();
        this.scheduler = ports.scheduler();
        this.random = random;
        this.membership = ports.membership();
        this.out = ports.out();
        this.listener = ports.listener();
        this.crashes = CrashRegistry.create(settings.instance(), this::livePeers, time);
        this.upstreams = new UpstreamTable(time, settings.storeReturn());
        this.chooser = new UpstreamChooser(settings.dataCentre(), random);
        this.retries = new RetryShares(settings, time);
        this.waits = new AdapterWaits(time, EXPECTED_LOAD);
        this.office =
                new OrderOffice(
                        membership,
                        settings,
                        ports.orders(),
                        time,
                        scheduler,
                        EXPECTED_LOAD,
                        new DeskListener());
        this.shares = new LoadShares(membership, upstreams, office, time, this::onPeerUse);
    }

    /** Creates a forwarder without configuration or upstreams. */
    public static Forwarder create(
            ForwardSettings settings, ForwardPorts ports, RandomGenerator random) {
        return new Forwarder(settings, ports, random);
    }

    private Collection<String> livePeers() {
        return membership.peers().stream().filter(p -> p.status().isLive()).map(Peer::id).toList();
    }

    // What the platform publishes.

    /** Takes over a configuration unless a newer one is in force. */
    public void onConfiguration(RoutingConfiguration read) {
        if (read.version() <= configuration.version()) {
            return;
        }
        LOG.infof(
                "event=configuration version=%d previous=%d",
                read.version(), configuration.version());
        configuration = read;
    }

    /** Returns the configuration in force. */
    public RoutingConfiguration configuration() {
        return configuration;
    }

    long configurationVersion() {
        return configuration.version();
    }

    /** Takes over the complete list of upstreams. */
    public void onUpstreams(Collection<UpstreamRecord> records) {
        upstreams.replaceAll(records).forEach(this::onUpstreamEnded);
    }

    /** Takes over the record of one upstream. */
    public void onUpstream(UpstreamRecord read) {
        upstreams.put(read).forEach(this::onUpstreamEnded);
        onRoom(read.service());
    }

    /** Notes that the record of an upstream is gone. */
    public void onUpstreamRemoved(String id) {
        upstreams.remove(id).forEach(this::onUpstreamEnded);
    }

    /** Notes that the store answers again after an outage. */
    public void onStoreReturned() {
        upstreams.onStoreReturned();
    }

    private void onUpstreamEnded(UpstreamState ended) {
        office.drop(ended);
        countCrash(ended.id());
        waits.failedAt(ended.id()).forEach(ForwardCall::onAdapterFailed);
    }

    /** Notes the newest version of an adapter. */
    public void onAdapterVersion(AdapterRef adapter, int version) {
        Integer known = versions.get(adapter);
        if (known == null || version > known) {
            versions.put(adapter, version);
            LOG.infof("event=adapter-version adapter=%s version=%d", adapter.key(), version);
        }
    }

    /** Returns how many upstreams are known. */
    public int upstreamCount() {
        return upstreams.all().size();
    }

    // Calls.

    /** Opens a call, which is placed at once. */
    public void open(ForwardRequest request, CallTransport transport) {
        retries.onRequest(request.service());
        ForwardCall call = new ForwardCall(request, transport, this, sequence++);
        open.add(call);
        transport.opened(call);
        call.start();
    }

    /** Returns the number of calls that have not ended. */
    public int openCalls() {
        return open.size();
    }

    long now() {
        return time.nanoTime();
    }

    Scheduler.Timer after(Duration delay, Runnable task) {
        return scheduler.after(delay, task);
    }

    Option<UpstreamChooser.Choice> choose(ForwardCall call) {
        ForwardRequest r = call.request();
        List<UpstreamState> serving = upstreams.serving(r.service());
        UpstreamChooser.Demand demand =
                new UpstreamChooser.Demand(
                        r,
                        configuration.service(r.service()).flatMap(ServiceSpec::engine),
                        requiredVersion(r).getOrElse(0),
                        waits.expectedLoad(),
                        home(r, serving),
                        promptPace.msPerToken(),
                        call.avoided());
        Option<UpstreamChooser.Choice> choice = chooser.choose(demand, serving);
        if (choice.isEmpty() && !call.avoided().isEmpty()) {
            // An upstream that turned the request away earlier may have room again.
            call.avoided().clear();
        }
        return choice;
    }

    /** Returns the first upstream in the rendezvous order of the request's adapter. */
    private static String home(ForwardRequest request, List<UpstreamState> serving) {
        String best = "";
        if (request.adapter().isDefined() && !request.adapter().get().isBase()) {
            long key = RendezvousHash.keyHash(request.adapter().get().key());
            long most = Long.MIN_VALUE;
            for (UpstreamState u : serving) {
                long weight = RendezvousHash.weightOf(key, u.nameHash());
                if (weight >= most) {
                    most = weight;
                    best = u.id();
                }
            }
        }
        return best;
    }

    /** Returns the version of the adapter that must answer; empty if any may. */
    Option<Integer> requiredVersion(ForwardRequest request) {
        return request.adapter().flatMap(a -> Option.of(versions.get(a)));
    }

    /** Returns why a call without an upstream must be refused now; empty if it may wait. */
    Option<ResultCode> refusalFor(ForwardCall call) {
        if (upstreams.serving(call.request().service()).isEmpty()) {
            return Option.of(ResultCode.NO_UPSTREAM);
        }
        return queue(call.request().service()).isHopeless(call)
                ? Option.of(ResultCode.QUEUE_FULL)
                : Option.none();
    }

    /** Returns when the caller should come back; empty if it has no time left to do so. */
    Option<Duration> retryAfter(ForwardCall call) {
        return retryAfter(call, queue(call.request().service()).expectedWait(call));
    }

    /**
     * Returns when a caller should come back whose adapter would arrive too late: as late as it
     * will wait, since many adapters must arrive first and it may come back only once.
     */
    Option<Duration> retryAfterLoads(ForwardCall call) {
        return retryAfter(call, call.request().route().timeout());
    }

    private Option<Duration> retryAfter(ForwardCall call, Duration expectedWait) {
        long left = call.request().endsNanos() - now();
        if (left <= 0) {
            return Option.none();
        }
        long most = (long) (left * MAX_RETURN);
        long wait = Math.min(most, Math.max(expectedWait.toNanos(), MIN_RETURN.toNanos()));
        // Spreads the returns, so that they do not arrive as another burst.
        return Option.of(Duration.ofNanos((long) (wait * (0.5 + random.nextDouble() / 2))));
    }

    private WaitingCalls queue(String service) {
        return queues.computeIfAbsent(service, s -> new WaitingCalls(time));
    }

    void enterQueue(ForwardCall call) {
        queue(call.request().service()).add(call);
    }

    void leaveQueue(ForwardCall call) {
        queue(call.request().service()).remove(call);
    }

    /** Sends waiting calls of a service for which there is room now. */
    void onRoom(String service) {
        for (ForwardCall call : queue(service).inOrder()) {
            if (choose(call).isEmpty()) {
                return;
            }
            call.place();
        }
    }

    boolean takeRetry(ForwardRequest request) {
        return retries.tryTake(request.service());
    }

    boolean hasAlternative(ForwardCall call) {
        return upstreams.serving(call.request().service()).stream()
                .anyMatch(
                        u ->
                                u != call.upstream()
                                        && !u.health().isPaused()
                                        && !call.avoided().contains(u.id()));
    }

    /** Returns how long an upstream may be silent before the request is sent elsewhere. */
    Duration patience(ForwardRequest request, boolean answerBegun) {
        if (request.route().kind().isStream()) {
            Duration first = request.route().target().multipliedBy(2);
            return answerBegun ? EVENT_PATIENCE : max(first, EVENT_PATIENCE);
        }
        Duration usual = latency(request.route()).usual().multipliedBy(PATIENCE_FACTOR);
        return max(MIN_PATIENCE, usual);
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private Latency latency(Route route) {
        return latencies.computeIfAbsent(route.name(), n -> new Latency(route.target()));
    }

    void onFirstByte(ForwardCall call, long nanos) {
        latency(call.request().route()).add(nanos);
        promptPace.add(call.request().promptTokens(), nanos);
    }

    void onOutcome(ForwardCall call, boolean good) {
        call.upstream().health().onOutcome(good);
    }

    void onUnreachable(ForwardCall call) {
        call.upstream().health().onUnreachable();
        countCrash(call.upstream().id());
    }

    void onCompleted(ForwardCall call, int status) {
        queue(call.request().service()).rate().onEnded();
        if (status < 500) {
            crashes.completed(call.request().fingerprint(), out);
        }
        listener.completed(
                call.request(), status, Duration.ofNanos(now() - call.request().arrivedNanos()));
    }

    void onRefused(ForwardRequest request, ResultCode code) {
        listener.refused(request, code, Duration.ofNanos(now() - request.arrivedNanos()));
    }

    void onEnded(ForwardCall call) {
        open.remove(call);
    }

    // Requests that crash the upstreams which run them.

    boolean crashesUpstreams(ForwardRequest request) {
        return crashes.refuses(request.fingerprint());
    }

    void onBrokenOff(ForwardCall call) {
        breaks.computeIfAbsent(call.upstream().id(), id -> new ArrayList<>())
                .add(new Break(call.request().fingerprint(), now()));
    }

    /** Marks the requests that broke off at an upstream shortly before it went down. */
    private void countCrash(String upstream) {
        List<Break> broken = breaks.remove(upstream);
        if (broken == null) {
            return;
        }
        long oldest = now() - CRASH_WINDOW.toNanos();
        List<byte[]> running = new ArrayList<>();
        broken.stream()
                .filter(b -> b.atNanos() - oldest >= 0)
                .forEach(b -> running.add(b.fingerprint()));
        crashes.crashed(running, out);
    }

    // Adapters.

    void wantAdapter(ForwardCall call) {
        AdapterRef adapter = call.request().adapter().get();
        int version = requiredVersion(call.request()).getOrElse(0);
        if (waits.add(call, adapter, version)) {
            ask(call.upstream().id(), adapter, version);
        }
    }

    private void ask(String upstream, AdapterRef adapter, int version) {
        Option<AdapterDesk> desk = office.desk(upstream);
        if (desk.isDefined()) {
            waits.underWay(upstream, adapter);
            desk.get().want(adapter, version);
            tickOrders();
            return;
        }
        Option<String> holder = office.claims().holder(upstream);
        if (holder.isEmpty() || holder.contains(settings.instance())) {
            return;
        }
        AdapterWanted wanted =
                AdapterWanted.newBuilder()
                        .setUpstream(upstream)
                        .setAdapter(adapter.key())
                        .setVersion(version)
                        .build();
        Envelope.Builder envelope = Envelope.newBuilder().setAdapterWanted(wanted);
        out.add(new Effect.SendPeer(holder.get(), envelope, false));
    }

    /** Stops using an upstream whose address has passed to another one; its record will go. */
    void onMisaddressed(UpstreamState upstream) {
        if (upstream.setMisaddressed()) {
            LOG.infof("event=upstream-misaddressed upstream=%s", upstream.id());
            countCrash(upstream.id());
            waits.failedAt(upstream.id()).forEach(ForwardCall::onAdapterFailed);
        }
    }

    /** Notes that a call gave up its wait for an adapter. */
    void onAdapterLate(ForwardCall call) {
        waits.late(call.upstream().id(), call.request().adapter().get());
    }

    void onAdapterMissing(ForwardCall call) {
        AdapterRef adapter = call.request().adapter().getOrElse(new AdapterRef("", ""));
        call.upstream().setAbsent(adapter);
        office.desk(call.upstream().id()).forEach(d -> d.onMissing(adapter));
    }

    private void onPeerUse(String upstream, AdapterRef adapter) {
        office.desk(upstream).forEach(d -> d.onUse(adapter));
    }

    private void onResident(UpstreamState upstream, AdapterRef adapter, int version) {
        upstream.setResident(adapter, version);
        waits.arrived(upstream.id(), adapter, version).forEach(ForwardCall::onAdapterReady);
    }

    /** Passes on what the desks learn to the calls and peers that wait for it. */
    private final class DeskListener implements AdapterDesk.Listener {

        @Override
        public void resident(UpstreamState upstream, AdapterRef adapter, int version) {
            onResident(upstream, adapter, version);
            tellWaiting(upstream, adapter, version, true);
        }

        @Override
        public void failed(UpstreamState upstream, AdapterRef adapter) {
            waits.failed(upstream.id(), adapter).forEach(ForwardCall::onAdapterFailed);
            tellWaiting(upstream, adapter, 0, false);
        }

        @Override
        public void misaddressed(UpstreamState upstream) {
            onMisaddressed(upstream);
        }

        @Override
        public void fenced(UpstreamState upstream) {
            office.claims().onFenced(upstream.id());
        }
    }

    private void tellWaiting(
            UpstreamState upstream, AdapterRef adapter, int version, boolean resident) {
        Set<String> peers = waitingPeers.remove(new AdapterWaits.Key(upstream.id(), adapter));
        if (peers == null) {
            return;
        }
        AdapterState state =
                AdapterState.newBuilder()
                        .setUpstream(upstream.id())
                        .setAdapter(adapter.key())
                        .setVersion(version)
                        .setResident(resident)
                        .build();
        for (String peer : peers) {
            out.add(new Effect.SendPeer(peer, Envelope.newBuilder().setAdapterState(state), false));
        }
    }

    // Peers and time.

    /** Handles a message of another instance. */
    public void onMessage(Envelope envelope) {
        String from = envelope.getFrom();
        switch (envelope.getBodyCase()) {
            case LOAD_SHARE -> {
                shares.onShare(from, envelope.getLoadShare());
                releaseArrived();
            }
            case ADAPTER_WANTED -> onWanted(from, envelope.getAdapterWanted());
            case ADAPTER_STATE -> onState(envelope.getAdapterState());
            case PING -> {
                membership.onMessage(envelope, out);
                if (envelope.getPing().getSequence() == GREETING) {
                    membership.introduce(from, out);
                }
            }
            case CRASH_MARKS -> crashes.onMessage(envelope, out);
            default -> membership.onMessage(envelope, out);
        }
    }

    private void onWanted(String from, AdapterWanted wanted) {
        Option<AdapterDesk> desk = office.desk(wanted.getUpstream());
        Option<AdapterRef> adapter = AdapterRef.parse(wanted.getAdapter());
        if (desk.isDefined() && adapter.isDefined()) {
            AdapterWaits.Key key = new AdapterWaits.Key(wanted.getUpstream(), adapter.get());
            waitingPeers.computeIfAbsent(key, k -> new HashSet<>()).add(from);
            desk.get().want(adapter.get(), wanted.getVersion());
            tickOrders();
        }
    }

    private void onState(AdapterState state) {
        UpstreamState u = upstreams.get(state.getUpstream());
        Option<AdapterRef> adapter = AdapterRef.parse(state.getAdapter());
        if (u == null || adapter.isEmpty()) {
            return;
        }
        if (state.getResident()) {
            onResident(u, adapter.get(), state.getVersion());
        } else {
            waits.failed(u.id(), adapter.get()).forEach(ForwardCall::onAdapterFailed);
        }
    }

    /** Sends the calls whose adapter has arrived according to a share. */
    private void releaseArrived() {
        for (AdapterWaits.Key key : waits.keys()) {
            UpstreamState u = upstreams.get(key.upstream());
            if (u != null) {
                if (u.isLoading(key.adapter())) {
                    waits.underWay(key.upstream(), key.adapter());
                }
                u.residentVersion(key.adapter())
                        .forEach(
                                v ->
                                        waits.arrived(key.upstream(), key.adapter(), v)
                                                .forEach(ForwardCall::onAdapterReady));
            }
        }
    }

    /** Does what is due; called several times in each tenth of a second. */
    public void onTick() {
        membership.onTick(out);
        crashes.onTick(out);
        retries.onTick(membership.live().size());
        upstreams.onTick().forEach(this::onUpstreamEnded);
        waits.overdue().forEach(ForwardCall::onAdapterFailed);
        waits.calls().forEach(ForwardCall::giveUpIfLate);
        waits.toRepeat().forEach((k, w) -> ask(k.upstream(), k.adapter(), w.version()));
        boolean claimsChanged = tickOrders();
        shares.onTick(claimsChanged, out);
        for (WaitingCalls queue : queues.values()) {
            for (ForwardCall call : queue.inOrder()) {
                if (queue.isHopeless(call)) {
                    call.giveUp(ResultCode.QUEUE_FULL);
                }
            }
        }
        queues.keySet().forEach(this::onRoom);
    }

    private boolean tickOrders() {
        Map<UpstreamState, EngineSpec> engines = new HashMap<>();
        for (UpstreamState u : upstreams.all()) {
            configuration
                    .service(u.upstream().service())
                    .flatMap(ServiceSpec::engine)
                    .filter(e -> !u.isMisaddressed())
                    .forEach(e -> engines.put(u, e));
        }
        return office.onTick(engines);
    }

    /** Notes that the process did not run for some time: others may act in its place by now. */
    public void onPause() {
        LOG.info("event=pause action=give-up-claims");
        office.claims().dropAll("pause");
    }

    /** Begins the planned stop: claims are given up and peers told. */
    public void drain() {
        if (!draining) {
            draining = true;
            office.claims().dropAll("stop");
            shares.onTick(true, out);
            membership.leave(out);
        }
    }
}
