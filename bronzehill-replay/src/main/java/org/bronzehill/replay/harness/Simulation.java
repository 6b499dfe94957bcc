package org.bronzehill.replay.harness;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.model.ServiceRequest;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.EntrySettings;
import org.bronzehill.core.node.Input;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.trace.TraceRecord;

/**
 * Simulation of a deployment on virtual time: entry instances with their decision cores, and fakes
 * of the engines, application runners, weight store, configuration service and peer links.
 */
public final class Simulation {

    private static final long INSTANCE_LIST_READ_NANOS = 2 * VirtualTime.NANOS_PER_MS;
    private static final int INCARNATION_SHIFT = 16;
    private static final int PEER_PORT = 7000;
    private static final int MAX_CLOCK_OFFSET_MS = 200;

    /**
     * Number of tokens that an engine generates for a request, and whether the request crashes it.
     */
    record RequestProfile(int tokens, boolean crashes) {}

    private final Deployment deployment;
    private final DecisionCore.Factory factory;
    private final VirtualTime time = new VirtualTime();
    private final EventLog log = new EventLog();
    private final SplittableRandom random;
    private final FakeWeightStore weightStore;
    private final FakeConfigurationService configurationService;
    private final FakeInstanceList instanceList;
    private final LinkDelays delays;
    private final PeerLinks links;
    private final List<Upstream> upstreams;
    private final Map<String, FakeEngine> engines = new LinkedHashMap<>();
    private final Map<String, FakeRunner> runners = new LinkedHashMap<>();
    private final Map<String, EntryInstance> instances = new LinkedHashMap<>();
    private final Map<String, RequestProfile> requestProfiles = new HashMap<>();
    private final Map<String, EntryInstance> instanceByRequest = new HashMap<>();
    private final Map<CoreMetric, Double> metricSums = new EnumMap<>(CoreMetric.class);
    private final Map<String, Integer> pinnedVersions = new HashMap<>();

    private Simulation(Deployment deployment, DecisionCore.Factory factory, long seed) {
        this.deployment = deployment;
        this.factory = factory;
        this.random = new SplittableRandom(seed);
        this.weightStore = new FakeWeightStore(time, deployment.limits(), random.split());
        this.upstreams = deployment.upstreams();
        this.configurationService =
                new FakeConfigurationService(time, log, deployment.configuration());
        this.instanceList = new FakeInstanceList(time, log, upstreams);
        this.links =
                new PeerLinks(
                        time, random.split(), deployment.oneWayLatency().toNanos(), instances::get);
        this.delays = new LinkDelays(time, new SplittableRandom(seed + 1));
        links.setDelays(delays);
        Map<String, byte[]> acts = new HashMap<>();
        for (Upstream u : upstreams) {
            if (u.kind() == UpstreamKind.ENGINE) {
                engines.put(u.id(), new FakeEngine(u, time, weightStore, log));
            } else {
                runners.put(u.id(), new FakeRunner(u.id(), time, log, acts));
            }
        }
    }

    /** Creates a simulation in which all entry instances of the deployment start at time 0. */
    public static Simulation create(
            Deployment deployment, DecisionCore.Factory factory, long seed) {
        Simulation simulation = new Simulation(deployment, factory, seed);
        simulation
                .deployment
                .entries()
                .forEach(e -> simulation.instanceList.addInitial(simulation.ref(e, 0)));
        simulation.deployment.entries().forEach(simulation::startInstance);
        return simulation;
    }

    private InstanceRef ref(String entry, long incarnation) {
        int index = deployment.entries().indexOf(entry);
        return new InstanceRef(
                entry,
                incarnation,
                "127.0.0.1",
                PEER_PORT + index,
                deployment.dataCentre(index),
                deployment.region());
    }

    private void startInstance(String entry) {
        Duration offset =
                Duration.ofMillis(random.nextInt(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS));
        long ms = VirtualTime.START.toEpochMilli() + time.now() / VirtualTime.NANOS_PER_MS;
        long incarnation = (ms << INCARNATION_SHIFT) + random.nextInt(1 << INCARNATION_SHIFT);
        InstanceRef self = ref(entry, incarnation);
        DecisionCore core =
                factory.create(
                        EntrySettings.of(self), time.clockWithOffset(offset), random.split());
        EntryInstance instance = new EntryInstance(this, self, core);
        instances.put(entry, instance);
        instance.start(random.nextLong(50 * VirtualTime.NANOS_PER_MS));
    }

    VirtualTime time() {
        return time;
    }

    /** Returns the log of the run so far. */
    public EventLog log() {
        return log;
    }

    LinkDelays delays() {
        return delays;
    }

    PeerLinks links() {
        return links;
    }

    FakeConfigurationService configurationService() {
        return configurationService;
    }

    FakeEngine engine(String id) {
        return engines.get(id);
    }

    FakeRunner runner(String id) {
        return runners.get(id);
    }

    RequestProfile requestProfile(String request) {
        return requestProfiles.get(request);
    }

    void recordMetric(Effect.RecordMetric m) {
        metricSums.merge(m.metric(), m.value(), Double::sum);
    }

    void readInstanceList(EntryInstance reader) {
        time.after(
                INSTANCE_LIST_READ_NANOS,
                () -> reader.deliver(new Input.InstanceListRead(instanceList.current())));
    }

    void onDrained(EntryInstance instance) {
        instanceList.setInstanceState(instance.self(), "absent");
        instance.kill();
    }

    /** Logs every message between instances whose kind is in {@code kinds}. */
    public Simulation logMessages(Set<String> kinds) {
        links.logTo(log, kinds);
        return this;
    }

    /** Schedules all records of a trace at their times. */
    public void schedule(List<TraceRecord> records) {
        for (TraceRecord r : records) {
            time.at(r.at() * VirtualTime.NANOS_PER_MS, () -> apply(r));
        }
    }

    /** Advances virtual time to {@code ms} milliseconds since the start. */
    public void runUntilMs(long ms) {
        time.runUntil(ms * VirtualTime.NANOS_PER_MS);
    }

    private void apply(TraceRecord r) {
        if (r instanceof TraceRecord.Model m) {
            submitModelRequest(m);
        } else if (r instanceof TraceRecord.Service s) {
            submitServiceRequest(s);
        } else if (r instanceof TraceRecord.CallerGone g) {
            disconnectCaller(g.id());
        } else if (r instanceof TraceRecord.UpstreamState u) {
            instanceList.setUpstreamState(u.upstream(), u.state(), upstreams);
        } else if (r instanceof TraceRecord.Publish p) {
            pinnedVersions.putAll(p.pins());
            configurationService.publish(deployment.configuration(p.number(), pinnedVersions));
        } else if (r instanceof TraceRecord.ConfigurationService c) {
            configurationService.setMode(c.mode());
        } else if (r instanceof TraceRecord.EngineRestart e) {
            engines.get(e.engine()).stop("restart", e.forMs());
        } else if (r instanceof TraceRecord.LoadFailures l) {
            weightStore.setFailingShare(l.share());
            time.after(l.forMs() * VirtualTime.NANOS_PER_MS, () -> weightStore.setFailingShare(0));
        } else if (r instanceof TraceRecord.SlowLinks l) {
            long end = time.now() + l.forMs() * VirtualTime.NANOS_PER_MS;
            delays.activate(l.share(), l.maxMs(), end);
            log.add(
                    new LogEvent.SlowLinksStarted(
                            time.now(), end + l.maxMs() * VirtualTime.NANOS_PER_MS));
        } else if (r instanceof TraceRecord.AnswersLost a) {
            runners.get(a.runner()).loseAnswers(a.forMs());
        } else {
            applyToInstances(r);
        }
    }

    private void applyToInstances(TraceRecord r) {
        if (r instanceof TraceRecord.Partition p) {
            links.partition(p.sides());
            log.add(new LogEvent.PartitionChanged(time.now(), p.sides()));
        } else if (r instanceof TraceRecord.Heal) {
            links.partition(List.of());
            log.add(new LogEvent.PartitionChanged(time.now(), List.of()));
        } else if (r instanceof TraceRecord.Pause p) {
            pause(instances.get(p.entry()), p.forMs());
        } else if (r instanceof TraceRecord.Kill k) {
            kill(instances.get(k.entry()));
        } else if (r instanceof TraceRecord.Start s) {
            start(s.entry());
        } else if (r instanceof TraceRecord.Drain d) {
            drain(instances.get(d.entry()));
        } else if (r instanceof TraceRecord.Silence s) {
            silence(s);
        } else {
            throw new IllegalStateException("unknown trace record: " + r);
        }
    }

    private void pause(EntryInstance instance, long forMs) {
        if (instance.isRunning()) {
            instance.pause();
            time.after(
                    forMs * VirtualTime.NANOS_PER_MS,
                    () -> {
                        if (instance.isRunning()) {
                            instance.resume();
                        }
                    });
        }
    }

    private void kill(EntryInstance instance) {
        if (instance.isRunning()) {
            instance.kill();
            instanceList.setInstanceState(instance.self(), "absent");
        }
    }

    private void start(String entry) {
        EntryInstance previous = instances.get(entry);
        if (!previous.isRunning()) {
            startInstance(entry);
            instanceList.setInstanceState(instances.get(entry).self(), "live");
        }
    }

    private void drain(EntryInstance instance) {
        if (instance.isRunning() && !instance.isDraining()) {
            instanceList.setInstanceState(instance.self(), "leaving");
            instance.drain();
        }
    }

    private void silence(TraceRecord.Silence s) {
        if (engines.containsKey(s.to())) {
            instances.get(s.from()).upstreams().silence(s.to());
        } else {
            links.silence(s.from(), s.to());
        }
    }

    private void disconnectCaller(String request) {
        EntryInstance instance = instanceByRequest.get(request);
        if (instance != null && instance.isRunning() && instance.callers().isOpen(request)) {
            log.add(new LogEvent.CallerDisconnected(time.now(), request));
            instance.callers().disconnect(request);
            instance.deliver(new Input.CallerDisconnected(request));
        }
    }

    /**
     * Returns the named instance if it is ready, otherwise the first ready one, as a load balancer
     * would choose it. If no instance is ready, returns the named one if it runs, or null.
     */
    private EntryInstance chooseInstance(String entry) {
        EntryInstance named = instances.get(entry);
        if (named.isReady()) {
            return named;
        }
        return instances.values().stream()
                .filter(EntryInstance::isReady)
                .findFirst()
                .orElse(named.isRunning() ? named : null);
    }

    private void submitModelRequest(TraceRecord.Model m) {
        EntryInstance instance = chooseInstance(m.entry());
        if (instance == null) {
            return;
        }
        requestProfiles.put(m.id(), new RequestProfile(m.tokens(), m.crashes()));
        logArrival(instance, m.id(), m.caller(), m.kind(), m.adapter(), "", m.budgetMs());
        byte[] body = EntryInstance.contentOf(m.id()).getBytes(StandardCharsets.UTF_8);
        instance.callers().open(m.id(), body);
        instance.deliver(
                new Input.ModelRequested(
                        new ModelRequest(
                                m.id(),
                                Deployment.tokenOf(m.caller()),
                                m.kind(),
                                m.adapter(),
                                m.budgetMs() > 0 ? Duration.ofMillis(m.budgetMs()) : null,
                                body,
                                true,
                                m.adapter().hashCode(),
                                m.tokens())));
    }

    private void submitServiceRequest(TraceRecord.Service s) {
        EntryInstance instance = chooseInstance(s.entry());
        if (instance == null) {
            return;
        }
        logArrival(instance, s.id(), s.caller(), s.kind(), "", s.key(), s.budgetMs());
        byte[] body = EntryInstance.contentOf(s.id()).getBytes(StandardCharsets.UTF_8);
        instance.callers().open(s.id(), body);
        instance.deliver(
                new Input.ServiceRequested(
                        new ServiceRequest(
                                s.id(),
                                Deployment.tokenOf(s.caller()),
                                s.kind(),
                                deployment.service(),
                                s.operation(),
                                s.key(),
                                s.budgetMs() > 0 ? Duration.ofMillis(s.budgetMs()) : null,
                                body,
                                "application/json")));
    }

    private void logArrival(
            EntryInstance instance,
            String id,
            String caller,
            String kind,
            String adapter,
            String key,
            long budgetMs) {
        instanceByRequest.put(id, instance);
        log.add(
                new LogEvent.RequestArrived(
                        time.now(), id, instance.id(), caller, kind, adapter, key, budgetMs));
    }

    /**
     * Logs the state of instances that are still draining; returns the result of the run so far.
     */
    public RunResult result() {
        instances.values().stream()
                .filter(p -> p.isRunning() && p.isDraining())
                .forEach(p -> p.logDrainState(false));
        Map<String, BatchMeter> meters = new LinkedHashMap<>();
        engines.forEach((id, e) -> meters.put(id, e.meter()));
        return new RunResult(
                deployment,
                log,
                Map.copyOf(configurationService.published()),
                meters,
                weightStore.loads(),
                links.messages(),
                links.bytes(),
                Map.copyOf(links.bytesByKind()),
                configurationService.reads(),
                Map.copyOf(metricSums),
                time.now());
    }
}
