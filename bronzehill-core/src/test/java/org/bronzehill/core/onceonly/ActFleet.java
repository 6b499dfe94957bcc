package org.bronzehill.core.onceonly;

import com.google.protobuf.ByteString;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.IdSequence;
import org.bronzehill.core.node.Input.ServiceAnswer;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Simulates several act managers on virtual time. Messages between them can be delayed, dropped or
 * cut off by a partition.
 */
final class ActFleet {

    static final String SERVICE = "pickups";
    private static final Duration STEP = Duration.ofMillis(10);

    private record Event(long atNanos, long order, Runnable action) {}

    /** One incarnation of an instance. */
    final class Node implements ClusterView {
        final String id;
        final long incarnation;
        final ActManager manager;
        final Map<String, ActResult> results = new TreeMap<>();
        boolean running = true;
        boolean paused;
        private long seenVersion = listVersion;

        private Node(String id, long incarnation) {
            this.id = id;
            this.incarnation = incarnation;
            this.manager =
                    ActManager.create(
                            this,
                            time,
                            IdSequence.create(),
                            (requestId, result, out) -> {
                                if (results.put(requestId, result) != null) {
                                    violations.add(requestId + " ended twice");
                                }
                            });
        }

        @Override
        public String selfId() {
            return id;
        }

        @Override
        public long selfIncarnation() {
            return incarnation;
        }

        @Override
        public long listVersion() {
            return seenVersion;
        }

        @Override
        public List<String> listedInstances() {
            return isolated ? List.of(id) : lists.get(seenVersion);
        }

        @Override
        public List<String> liveInstances() {
            return nodes.values().stream()
                    .filter(n -> !isolated || n == this)
                    .filter(n -> n.running && linked(id, n.id))
                    .map(n -> n.id)
                    .toList();
        }

        @Override
        public long liveIncarnation(String instance) {
            Node n = nodes.get(instance);
            return n != null && n.running && linked(id, instance) ? n.incarnation : 0;
        }

        @Override
        public List<Upstream> runners(String service) {
            return runners;
        }

        void submit(String requestId, String key, Duration budget) {
            manager.submit(request(requestId, key, budget), e -> carryOut(this, e));
        }

        private void tick() {
            if (running && !paused) {
                manager.onTick(e -> carryOut(this, e));
            }
        }
    }

    static Upstream runner(String id, ListedState state) {
        return new Upstream(
                id,
                UpstreamKind.APPLICATION_RUNNER,
                URI.create("http://127.0.0.1:1"),
                "dc1",
                "r1",
                state,
                Upstream.EngineProperties.NONE,
                false,
                Set.of(SERVICE));
    }

    List<Upstream> runners = List.of(runner("runner-1", ListedState.LIVE));

    /** Runner that recorded the act, by key. */
    final Map<String, String> recordedAt = new HashMap<>();

    final ManualTimeSource time = ManualTimeSource.startingAt(Instant.EPOCH);
    final Map<String, Node> nodes = new TreeMap<>();
    final Set<String> listed = new TreeSet<>();
    final Map<String, Integer> executions = new HashMap<>();
    final Map<String, Set<String>> executedRequests = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    final Random random;

    /** When set, every instance sees itself as the only one; the checks must then fail. */
    boolean isolated;

    private final Map<Long, List<String>> lists = new HashMap<>();
    private long listVersion = 1;
    long messages;
    long bytes;
    double dropRate;
    double lostAnswerRate;
    int maxDelayMs = 3;
    private final Set<String> cutOff = new HashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private long incarnations = 1;
    private long order;

    ActFleet(int size, long seed) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            listed.add("entry-" + i);
        }
        lists.put(listVersion, List.copyOf(listed));
        listed.forEach(this::start);
    }

    /**
     * Publishes the current content of {@link #listed}. Each instance reads it within the given
     * lag.
     */
    void publishList(Duration lag) {
        long version = ++listVersion;
        lists.put(version, List.copyOf(listed));
        for (Node n : nodes.values()) {
            int delay = lag.isZero() ? 0 : random.nextInt((int) lag.toMillis());
            schedule(delay, () -> n.seenVersion = Math.max(n.seenVersion, version));
        }
    }

    static ActRequest request(String requestId, String key, Duration budget) {
        return new ActRequest(
                requestId,
                key,
                "creamery",
                "pickup-confirmation",
                SERVICE,
                "confirm",
                ByteString.copyFromUtf8("litres=40"),
                "application/json",
                budget);
    }

    Node start(String id) {
        Node node = new Node(id, incarnations++);
        nodes.put(id, node);
        return node;
    }

    void kill(String id) {
        nodes.get(id).running = false;
    }

    /**
     * Stops an instance after it has handed over its claims and the messages have been delivered.
     */
    void stop(String id) {
        Node node = nodes.get(id);
        node.manager.handOver(e -> carryOut(node, e));
        run(Duration.ofSeconds(1));
        kill(id);
    }

    /** Cuts the links between the given instances and all others in both directions. */
    void partition(Set<String> side) {
        cutOff.clear();
        cutOff.addAll(side);
    }

    void heal() {
        cutOff.clear();
    }

    private boolean linked(String a, String b) {
        return cutOff.contains(a) == cutOff.contains(b);
    }

    void run(Duration duration) {
        long end = time.nanoTime() + duration.toNanos();
        while (time.nanoTime() < end) {
            time.advance(STEP);
            while (!events.isEmpty() && events.peek().atNanos() <= time.nanoTime()) {
                events.poll().action().run();
            }
            new ArrayList<>(nodes.values()).forEach(Node::tick);
        }
    }

    private void schedule(int delayMs, Runnable action) {
        long at = time.nanoTime() + Duration.ofMillis(delayMs).toNanos();
        events.add(new Event(at, order++, action));
    }

    private void carryOut(Node node, Effect effect) {
        if (effect instanceof Effect.SendPeer send) {
            deliver(node, send);
        } else if (effect instanceof Effect.LookupAct lookup) {
            schedule(
                    2,
                    () -> {
                        String recorded = recordedAt.get(lookup.key());
                        boolean found = lookup.upstream().equals(recorded);
                        answer(node, lookup.callId(), found ? 200 : 404);
                    });
        } else if (effect instanceof Effect.CallService call) {
            schedule(1 + random.nextInt(20), () -> execute(node, call));
        }
    }

    private void execute(Node node, Effect.CallService call) {
        int count = executions.merge(call.key(), 1, Integer::sum);
        recordedAt.put(call.key(), call.upstream());
        executedRequests.computeIfAbsent(call.key(), k -> new HashSet<>()).add(call.requestId());
        if (count > 1) {
            violations.add(call.key() + " executed " + count + " times");
        }
        if (random.nextDouble() < lostAnswerRate) {
            schedule(
                    200,
                    () -> {
                        if (node.running && !node.paused) {
                            node.manager.onServiceFailed(
                                    call.callId(), FailureReason.SILENT, e -> carryOut(node, e));
                        }
                    });
        } else {
            schedule(2, () -> answer(node, call.callId(), 200));
        }
    }

    private void answer(Node node, long callId, int status) {
        if (!node.running) {
            return;
        }
        if (node.paused) {
            schedule(20, () -> answer(node, callId, status));
            return;
        }
        ServiceAnswer answer =
                new ServiceAnswer(status, "application/json", new byte[] {1}, Map.of());
        node.manager.onServiceAnswered(callId, answer, e -> carryOut(node, e));
    }

    private void deliver(Node from, Effect.SendPeer send) {
        Envelope envelope =
                send.envelope()
                        .setFrom(from.id)
                        .setFromIncarnation(from.incarnation)
                        .setListVersion(from.seenVersion)
                        .build();
        messages++;
        bytes += envelope.getSerializedSize();
        if (random.nextDouble() >= dropRate) {
            Node target = nodes.get(send.instance());
            schedule(1 + random.nextInt(maxDelayMs), () -> receive(target, from, envelope));
        }
    }

    private void receive(Node target, Node from, Envelope envelope) {
        if (target == null || !target.running || !linked(from.id, target.id)) {
            return;
        }
        if (target.paused) {
            schedule(20, () -> receive(target, from, envelope));
            return;
        }
        target.manager.onMessage(envelope, e -> carryOut(target, e));
    }
}
