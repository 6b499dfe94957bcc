package org.bronzehill.core.cluster;

import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationBase;
import org.bronzehill.config.Limits;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.config.Policy;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.protocol.generated.Envelope;

/** Instances, network and configuration service on one virtual clock; a seed determines a run. */
final class VirtualCluster {

    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    static final String REGION = "r1";
    static final long MS = 1_000_000;
    static final long SECOND = 1_000 * MS;

    final VirtualNetwork network;
    final VirtualConfigurationService service = new VirtualConfigurationService(this);
    final SplittableRandom random;
    final Map<String, VirtualNode> nodes = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    final List<Permit> permits = new ArrayList<>();
    final Map<String, Long> highestFencing = new HashMap<>();
    Predicate<Envelope> messageFilter = e -> true;
    InstanceList list;
    Set<AdapterSpec> adapters = Set.of();
    OwnershipScope scope = OwnershipScope.REGION;
    Limits limits = new Limits(4, 2, 16, 1 << 20, 1024, 4096, 2000);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final int dataCentres;
    private long now;
    private long eventSequence;
    private long startCount;

    /** A permit that an engine's lease holder received. */
    record Permit(long at, VirtualNode node, String engine, long sequence) {}

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(sequence, o.sequence);
        }
    }

    VirtualCluster(long seed, int instances, int engines, int dataCentres) {
        this.random = new SplittableRandom(seed);
        this.network = new VirtualNetwork(random.split());
        this.dataCentres = dataCentres;
        List<ListedInstance> listed = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            listed.add(new ListedInstance(ref(i, 0), ListedState.LIVE));
        }
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            upstreams.add(engine(i));
        }
        list = new InstanceList(1, listed, upstreams);
    }

    private InstanceRef ref(int i, long incarnation) {
        return new InstanceRef(
                id(i), incarnation, "127.0.0.1", 7000 + i, "dc" + i % dataCentres, REGION);
    }

    private Upstream engine(int i) {
        return new Upstream(
                "e" + i,
                UpstreamKind.ENGINE,
                URI.create("http://127.0.0.1:" + (9000 + i)),
                "dc" + i % dataCentres,
                REGION,
                ListedState.LIVE,
                new Upstream.EngineProperties("base", 8, 8),
                true,
                Set.of());
    }

    static String id(int i) {
        return String.format("n%03d", i);
    }

    Configuration configuration(long number) {
        Policy policy = new Policy(1.0, 0.5, scope);
        return Configuration.of(
                number,
                new ConfigurationBase(Set.of("base"), Map.of(), Map.of(), limits, policy),
                adapters);
    }

    long now() {
        return now;
    }

    void schedule(long nanos, Runnable action) {
        events.add(new Event(now + nanos, eventSequence++, action));
    }

    void startAll() {
        for (int i = 0; i < list.instances().size(); i++) {
            start(i);
        }
    }

    /** Starts a new process for an instance; an earlier process with its id must not be running. */
    VirtualNode start(int i) {
        long incarnation = ((START.toEpochMilli() + now / MS) << 16) + ++startCount;
        long skewMs = random.nextLong(-20, 21);
        VirtualNode node = new VirtualNode(this, ref(i, incarnation), random.nextLong(), skewMs);
        nodes.put(node.id(), node);
        schedule(random.nextLong(50 * MS), () -> schedulePeriodic(node, 50 * MS, node::tick));
        schedule(
                random.nextLong(50 * MS),
                () -> schedulePeriodic(node, SECOND, () -> readList(node)));
        return node;
    }

    private void readList(VirtualNode node) {
        if (!node.listFrozen) {
            node.onListRead(list);
        }
    }

    private void schedulePeriodic(VirtualNode node, long period, Runnable action) {
        if (node.running) {
            if (!node.paused()) {
                node.run(action);
            }
            schedule(period, () -> schedulePeriodic(node, period, action));
        }
    }

    void kill(String id) {
        nodes.get(id).running = false;
    }

    void send(Envelope e, boolean newConnection) {
        if (!messageFilter.test(e)) {
            return;
        }
        long delay = network.delayNanos(e.getFrom(), e.getTo(), newConnection);
        if (delay >= 0) {
            schedule(
                    delay,
                    () -> {
                        VirtualNode to = nodes.get(e.getTo());
                        if (to != null) {
                            to.receive(e);
                        }
                    });
        }
    }

    void publishList(List<ListedInstance> instances) {
        list = new InstanceList(list.version() + 1, instances, list.upstreams());
    }

    void runFor(long nanos) {
        long end = now + nanos;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.poll();
            now = e.at();
            e.action().run();
        }
        now = end;
    }

    /** Checks at this interval, from now on, that no resource has two holders. */
    void checkLeasesPeriodically(long period) {
        checkHolders();
        schedule(period, () -> checkLeasesPeriodically(period));
    }

    private void checkHolders() {
        Map<String, VirtualNode> holders = new HashMap<>();
        for (VirtualNode n : nodes.values()) {
            if (!n.running) {
                continue;
            }
            for (String resource : n.leases.heldResources()) {
                String key = resource + "@" + n.membership.list().version();
                VirtualNode other = holders.put(key, n);
                if (other != null) {
                    violations.add(
                            key + " held by " + other.id() + " and " + n.id() + " at " + now / MS);
                }
            }
        }
    }

    void acquired(VirtualNode node, Lease lease) {
        Long before = highestFencing.put(lease.resource(), lease.fencing());
        if (before != null && before >= lease.fencing()) {
            violations.add(lease.resource() + " fencing " + lease.fencing() + " after " + before);
        }
        checkHolders();
    }

    void permitGranted(VirtualNode node, String engine, long sequence) {
        permits.add(new Permit(now, node, engine, sequence));
    }

    List<VirtualNode> running() {
        return nodes.values().stream().filter(n -> n.running).toList();
    }

    VirtualNode holder(String resource) {
        return running().stream().filter(n -> n.leases.holds(resource)).findFirst().orElse(null);
    }

    List<String> resources() {
        List<String> all = new ArrayList<>();
        list.upstreams().forEach(u -> all.add(Resources.engine(u.id())));
        all.add(Resources.store(REGION));
        return all;
    }

    long unheldResources() {
        return resources().stream().filter(r -> holder(r) == null).count();
    }
}
