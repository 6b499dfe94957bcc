package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.Effect;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.MemberUpdate;
import org.bronzehill.protocol.generated.PeerStatus;
import org.bronzehill.protocol.generated.Ping;

/** Fleet of instances on virtual time that exchange messages and share some engines. */
final class FleetRig {

    static final Duration TICK = Duration.ofMillis(100);

    private static final Duration DELAY = Duration.ofMillis(1);

    /** Largest content of a datagram that fits into one packet. */
    private static final int PACKET_BYTES = 1472;

    /** Longer than any test lasts. */
    private static final Duration CALL_LIMIT = Duration.ofMinutes(5);

    private final IntUnaryOperator linkMbps;
    private final IntPredicate withoutLinks;
    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final Random random = new Random(5);
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final List<String> engineIds = new ArrayList<>();
    private final List<UpstreamRecord> listed = new ArrayList<>();
    private final FakeEngines engines;
    private final EngineSpec spec;
    private int sequence;
    private double loss;
    private final Set<Envelope.BodyCase> droppedKinds = EnumSet.noneOf(Envelope.BodyCase.class);
    private Consumer<Envelope> sentListener = envelope -> {};
    private Option<byte[]> fingerprint = Option.none();

    /** One instance. */
    final class Node {
        final InstanceRef ref;
        final Membership membership;
        final Forwarder forwarder;
        final Map<String, Integer> received = new HashMap<>();
        int reports;
        long sentBytes;
        int partition;
        boolean up = true;

        final UpstreamPaths paths = new UpstreamPaths(scheduler);

        private Node(String id, String dataCentre, int port) {
            int number = Integer.parseInt(id.substring(1));
            int link = withoutLinks.test(number) ? 0 : linkMbps.applyAsInt(number);
            ref = new InstanceRef(id, scheduler.time().millis(), id, port, dataCentre, "r", link);
            membership = Membership.create(ref, scheduler.time(), new Random(id.hashCode()));
            ForwardSettings settings = TestSettings.in(dataCentre, id);
            ForwardPorts ports =
                    new ForwardPorts(
                            scheduler.time(),
                            scheduler,
                            membership,
                            e -> send(this, e),
                            transport(),
                            TestSettings.listener());
            forwarder = Forwarder.create(settings, ports, new Random(id.hashCode()));
            forwarder.onConfiguration(
                    RoutingConfiguration.of(
                            1,
                            List.of(),
                            List.of(
                                    new ServiceSpec(ForwardRig.PLAIN, 100, Option.none()),
                                    new ServiceSpec(ForwardRig.ENGINES, 100, Option.of(spec))),
                            CallerLimits.INITIAL));
            List<UpstreamRecord> records = new ArrayList<>();
            records.add(ForwardRig.plain("p1", 100));
            records.addAll(listed);
            engineIds.forEach(e -> records.add(ForwardRig.engine(e, false)));
            forwarder.onUpstreams(records);
            // Spreads the ticks, so that those of different instances do not coincide.
            scheduler.after(Duration.ofMillis(random.nextInt(100)), this::tick);
        }

        private OrderTransport transport() {
            return new OrderTransport() {
                @Override
                public void order(UpstreamRecord u, Order order, Consumer<OrderReply> reply) {
                    engines.order(u, order, reply);
                }

                @Override
                public void probe(UpstreamRecord u, Duration limit, Consumer<ProbeResult> reply) {
                    paths.probe(u, limit, reply);
                }

                @Override
                public void readReport(UpstreamRecord u, Consumer<Option<InventoryReport>> reply) {
                    reports++;
                    engines.readReport(u, reply);
                }
            };
        }

        private void tick() {
            if (up) {
                forwarder.onTick();
                ForwardRig.confirmStore(forwarder, scheduler.time());
                scheduler.after(TICK, this::tick);
            }
        }

        void receive(Envelope envelope) {
            if (up) {
                received.merge(envelope.getBodyCase().name(), 1, Integer::sum);
                forwarder.onMessage(envelope);
            }
        }

        int receivedOf(Envelope.BodyCase kind) {
            return received.getOrDefault(kind.name(), 0);
        }

        /** Opens a call to the plain upstream. The call runs until its transport ends it. */
        FakeTransport call() {
            return call(
                    RequestKind.IDEMPOTENT,
                    ForwardRig.PLAIN,
                    Option.none(),
                    List.of(),
                    new FakeTransport());
        }

        /** Opens a call to the plain upstream whose transport has been prepared by the test. */
        void call(FakeTransport transport) {
            call(RequestKind.IDEMPOTENT, ForwardRig.PLAIN, Option.none(), List.of(), transport);
        }

        /** Opens a streamed call to the engines. The call runs until its transport ends it. */
        FakeTransport stream(AdapterRef adapter) {
            return stream(adapter, new FakeTransport());
        }

        /** Opens a streamed call whose transport has been prepared by the test. */
        FakeTransport stream(AdapterRef adapter, FakeTransport transport) {
            Option<AdapterRef> a = Option.of(adapter);
            return call(RequestKind.STREAM, ForwardRig.ENGINES, a, List.of(), transport);
        }

        /** Opens a streamed call to the base model whose prompt has the given shared parts. */
        FakeTransport stream(List<Long> sharedParts) {
            Option<AdapterRef> base = Option.of(new AdapterRef("m", ""));
            return call(
                    RequestKind.RESUMABLE_STREAM,
                    ForwardRig.ENGINES,
                    base,
                    sharedParts,
                    new FakeTransport());
        }

        /** Opens a call that resumes the stream of an earlier request. */
        FakeTransport resume(String firstRequest) {
            FakeTransport transport = new FakeTransport();
            ResumedStream stream = new ResumedStream(Option.of(firstRequest));
            open(
                    RequestKind.RESUMABLE_STREAM,
                    ForwardRig.ENGINES,
                    Option.of(new AdapterRef("m", "")),
                    List.of(),
                    Option.of(stream),
                    transport);
            return transport;
        }

        /** Opens a call to a service that its caller waits for until a time limit. */
        void open(RequestKind kind, String service, Duration limit, CallTransport transport) {
            open(kind, service, Option.none(), List.of(), Option.none(), limit, transport);
        }

        private FakeTransport call(
                RequestKind kind,
                String service,
                Option<AdapterRef> adapter,
                List<Long> sharedParts,
                FakeTransport transport) {
            open(kind, service, adapter, sharedParts, Option.none(), transport);
            return transport;
        }

        private void open(
                RequestKind kind,
                String service,
                Option<AdapterRef> adapter,
                List<Long> sharedParts,
                Option<ResumedStream> resumed,
                CallTransport transport) {
            open(kind, service, adapter, sharedParts, resumed, CALL_LIMIT, transport);
        }

        private void open(
                RequestKind kind,
                String service,
                Option<AdapterRef> adapter,
                List<Long> sharedParts,
                Option<ResumedStream> resumed,
                Duration limit,
                CallTransport transport) {
            Route route =
                    new Route(
                            "r",
                            "h",
                            "/x/",
                            kind,
                            CALL_LIMIT,
                            CALL_LIMIT,
                            1,
                            List.of(new ServiceShare(service, 1)),
                            2,
                            CALL_LIMIT);
            forwarder.open(
                    new ForwardRequest(
                            "q" + sequence++,
                            route,
                            route.serviceAt(0),
                            scheduler.time().nanoTime(),
                            limit,
                            adapter,
                            0,
                            0,
                            fingerprint.getOrElse(
                                    new byte[] {(byte) (sequence >> 8), (byte) sequence}),
                            sharedParts,
                            resumed),
                    transport);
        }
    }

    /**
     * @param size number of instances
     * @param dataCentres number of data centres over which the instances are spread in turn
     */
    FleetRig(int size, int dataCentres, int engineCount) {
        this(size, dataCentres, engineCount, 6);
    }

    /**
     * @param slots number of adapter slots of each engine
     */
    FleetRig(int size, int dataCentres, int engineCount, int slots) {
        this(size, dataCentres, engineCount, slots, number -> 0);
    }

    /**
     * @param linkMbps returns the bandwidth of the link of the instance with the given number, in
     *     Mbit/s; 0 if it is not known
     */
    FleetRig(int size, int dataCentres, int engineCount, int slots, IntUnaryOperator linkMbps) {
        this(size, dataCentres, engineCount, slots, linkMbps, number -> false);
    }

    /**
     * @param withoutLinks returns whether the instance with the given number neither states nor
     *     reads the bandwidths of links, as those of an earlier build
     */
    FleetRig(
            int size,
            int dataCentres,
            int engineCount,
            int slots,
            IntUnaryOperator linkMbps,
            IntPredicate withoutLinks) {
        this.linkMbps = linkMbps;
        this.withoutLinks = withoutLinks;
        spec = ForwardRig.spec(slots);
        engines = new FakeEngines(scheduler, Duration.ofMillis(250), 40);
        for (int i = 1; i <= engineCount; i++) {
            engineIds.add("e" + i);
        }
        for (int i = 0; i < size; i++) {
            String id = "n" + i;
            nodes.put(id, new Node(id, "d" + i % dataCentres, 7000 + i));
        }
        exchangeMembership();
    }

    /** Announces all instances to each other, as seeds do. */
    void exchangeMembership() {
        for (Node a : nodes.values()) {
            MemberUpdate.Builder update =
                    MemberUpdate.newBuilder()
                            .setId(a.ref.id())
                            .setIncarnation(a.ref.incarnation())
                            .setHost(a.ref.host())
                            .setPort(a.ref.port())
                            .setDataCentre(a.ref.dataCentre())
                            .setRegion("r")
                            .setLinkMbps(a.ref.linkMbps())
                            .setStatus(PeerStatus.PEER_STATUS_ALIVE);
            for (Node b : nodes.values()) {
                Envelope.Builder hello =
                        Envelope.newBuilder().setPing(Ping.newBuilder().addUpdates(update));
                deliver(a, b, hello);
            }
        }
    }

    private void send(Node from, Effect effect) {
        if (effect instanceof Effect.SendPeer s && nodes.containsKey(s.instance())) {
            deliver(from, nodes.get(s.instance()), s.envelope());
        }
    }

    private void deliver(Node from, Node to, Envelope.Builder envelope) {
        if (from == to
                || !from.up
                || from.partition != to.partition
                || droppedKinds.contains(envelope.getBodyCase())
                || random.nextDouble() < loss) {
            return;
        }
        if (knowsNoLinks(from) || knowsNoLinks(to)) {
            removeLinks(envelope);
        }
        Envelope whole =
                envelope.setFrom(from.ref.id())
                        .setFromIncarnation(from.ref.incarnation())
                        .setTo(to.ref.id())
                        .build();
        if (whole.getSerializedSize() > PACKET_BYTES) {
            throw new AssertionError(
                    whole.getBodyCase() + " of " + whole.getSerializedSize() + " bytes");
        }
        from.sentBytes += whole.getSerializedSize();
        sentListener.accept(whole);
        scheduler.after(
                DELAY,
                () -> {
                    if (from.partition == to.partition) {
                        to.receive(whole);
                    }
                });
    }

    private boolean knowsNoLinks(Node node) {
        return withoutLinks.test(Integer.parseInt(node.ref.id().substring(1)));
    }

    private static void removeLinks(Envelope.Builder envelope) {
        List<MemberUpdate.Builder> updates =
                switch (envelope.getBodyCase()) {
                    case PING -> envelope.getPingBuilder().getUpdatesBuilderList();
                    case ACK -> envelope.getAckBuilder().getUpdatesBuilderList();
                    case PING_REQUEST -> envelope.getPingRequestBuilder().getUpdatesBuilderList();
                    default -> List.of();
                };
        updates.forEach(MemberUpdate.Builder::clearLinkMbps);
    }

    /** Gives all further requests the same fingerprint. */
    void setFingerprint(byte[] common) {
        fingerprint = Option.of(common);
    }

    /** Passes all further messages to a listener too. */
    void onSent(Consumer<Envelope> listener) {
        sentListener = listener;
    }

    /** Drops the given part of all messages from now on. */
    void setLoss(double part) {
        loss = part;
    }

    /** Drops all messages of a kind from now on, as if no instance knew it. */
    void drop(Envelope.BodyCase kind) {
        droppedKinds.add(kind);
    }

    /** Runs the fleet and checks that no two instances may send orders to the same engine. */
    void run(Duration time) {
        for (long left = time.toMillis(); left > 0; left -= 50) {
            scheduler.advance(Duration.ofMillis(50));
            for (String e : engineIds) {
                if (holders(e).size() > 1) {
                    throw new AssertionError(e + " may get orders from " + holders(e));
                }
            }
        }
    }

    /** Runs the fleet without this check, while two sides of a partition may both send orders. */
    void runPartitioned(Duration time) {
        scheduler.advance(time);
    }

    List<String> holders(String engine) {
        return nodes.values().stream()
                .filter(n -> n.up && n.forwarder.maySendOrdersTo(engine))
                .map(n -> n.ref.id())
                .toList();
    }

    FakeEngines engines() {
        return engines;
    }

    VirtualScheduler scheduler() {
        return scheduler;
    }

    /** Kills an instance and starts it again, and returns the new one. */
    Node restart(int number) {
        Node killed = node(number);
        killed.up = false;
        InstanceRef ref = killed.ref;
        Node started = new Node(ref.id(), ref.dataCentre(), ref.port());
        nodes.put(ref.id(), started);
        exchangeMembership();
        return started;
    }

    /** Kills an instance. */
    void kill(int number) {
        node(number).up = false;
    }

    /** Lists an engine with a software version at all instances. */
    void list(String id, String softwareVersion) {
        UpstreamRecord listed = ForwardRig.engine(id, 100, softwareVersion, false);
        nodes.values().forEach(n -> n.forwarder.onUpstream(listed));
    }

    /** Lists a further upstream at all instances, also at those that are started later. */
    void list(UpstreamRecord upstream) {
        listed.add(upstream);
        nodes.values().forEach(n -> n.forwarder.onUpstream(upstream));
    }

    /** Restarts an engine under its identifier. The instances hear of it one after the other. */
    void restartEngine(int number) {
        String id = engineIds.get(number);
        engines.restart(id);
        UpstreamRecord restarted = ForwardRig.engine(id, scheduler.time().millis(), false);
        for (Node n : nodes.values()) {
            scheduler.after(
                    Duration.ofMillis(random.nextInt(1500)),
                    () -> n.forwarder.onUpstream(restarted));
        }
    }

    List<String> engineIds() {
        return engineIds;
    }

    Node node(int number) {
        return nodes.get("n" + number);
    }

    List<Node> up() {
        return nodes.values().stream().filter(n -> n.up).toList();
    }

    /** Returns the instances that receive load shares, those with the most shares first. */
    List<Node> collectors() {
        return up().stream()
                .filter(n -> n.receivedOf(Envelope.BodyCase.LOAD_SHARE) > 0)
                .sorted(
                        (a, b) ->
                                b.receivedOf(Envelope.BodyCase.LOAD_SHARE)
                                        - a.receivedOf(Envelope.BodyCase.LOAD_SHARE))
                .toList();
    }

    void clearReceived() {
        nodes.values().forEach(n -> n.received.clear());
        nodes.values().forEach(n -> n.sentBytes = 0);
    }

    /** Returns the distinct numbers of requests that live instances count at an upstream. */
    Set<Integer> views(String upstream) {
        Set<Integer> views = new java.util.TreeSet<>();
        up().forEach(n -> views.add(n.forwarder.requestsAt(upstream)));
        return views;
    }
}
