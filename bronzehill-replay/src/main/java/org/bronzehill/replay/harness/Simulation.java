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

/** Several decision cores on virtual time with fakes at their interfaces. */
public final class Simulation {

    private static final long LIST_READ_NANOS = 2 * VirtualTime.MS;
    private static final int INCARNATION_SHIFT = 16;
    private static final int PEER_PORT = 7000;
    private static final int MAX_CLOCK_OFFSET_MS = 200;

    /** What the text of a request makes an engine do. */
    record Content(int tokens, boolean crashes) {}

    private final Deployment deployment;
    private final DecisionCore.Factory factory;
    private final VirtualTime time = new VirtualTime();
    private final EventLog log = new EventLog();
    private final SplittableRandom random;
    private final WeightStore store;
    private final FakeConfigurationService configurationService;
    private final FakeInstanceList instanceList;
    private final Delays delays;
    private final PeerLinks links;
    private final List<Upstream> upstreams;
    private final Map<String, FakeEngine> engines = new LinkedHashMap<>();
    private final Map<String, FakeRunner> runners = new LinkedHashMap<>();
    private final Map<String, EntryProgram> programs = new LinkedHashMap<>();
    private final Map<String, Content> contents = new HashMap<>();
    private final Map<String, EntryProgram> owners = new HashMap<>();
    private final Map<CoreMetric, Double> measured = new EnumMap<>(CoreMetric.class);
    private final Map<String, Integer> pins = new HashMap<>();

    private Simulation(Deployment deployment, DecisionCore.Factory factory, long seed) {
        this.deployment = deployment;
        this.factory = factory;
        this.random = new SplittableRandom(seed);
        this.store = new WeightStore(time, deployment.limits(), random.split());
        this.upstreams = deployment.upstreams();
        this.configurationService =
                new FakeConfigurationService(time, log, deployment.configuration());
        this.instanceList = new FakeInstanceList(time, log, upstreams);
        this.links =
                new PeerLinks(time, random.split(), deployment.oneWay().toNanos(), programs::get);
        this.delays = new Delays(time, new SplittableRandom(seed + 1));
        links.delays(delays);
        Map<String, byte[]> acts = new HashMap<>();
        for (Upstream u : upstreams) {
            if (u.kind() == UpstreamKind.ENGINE) {
                engines.put(u.id(), new FakeEngine(u, time, store, log));
            } else {
                runners.put(u.id(), new FakeRunner(u.id(), time, log, acts));
            }
        }
    }

    /** Creates a world in which all entry instances of the deployment start at time 0. */
    public static Simulation create(
            Deployment deployment, DecisionCore.Factory factory, long seed) {
        Simulation w = new Simulation(deployment, factory, seed);
        w.deployment.entries().forEach(e -> w.instanceList.seed(w.ref(e, 0)));
        w.deployment.entries().forEach(w::startProgram);
        return w;
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

    private void startProgram(String entry) {
        Duration offset =
                Duration.ofMillis(random.nextInt(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS));
        long ms = VirtualTime.START.toEpochMilli() + time.now() / VirtualTime.MS;
        long incarnation = (ms << INCARNATION_SHIFT) + random.nextInt(1 << INCARNATION_SHIFT);
        InstanceRef self = ref(entry, incarnation);
        DecisionCore core =
                factory.create(
                        EntrySettings.of(self), time.clockWithOffset(offset), random.split());
        EntryProgram p = new EntryProgram(this, self, core);
        programs.put(entry, p);
        p.start(random.nextLong(50 * VirtualTime.MS));
    }

    VirtualTime time() {
        return time;
    }

    /** Returns the log of the run so far. */
    public EventLog log() {
        return log;
    }

    Delays delays() {
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

    Content content(String request) {
        return contents.get(request);
    }

    void measured(Effect.RecordMetric m) {
        measured.merge(m.metric(), m.value(), Double::sum);
    }

    void readInstanceList(EntryProgram reader) {
        time.after(
                LIST_READ_NANOS,
                () -> reader.deliver(new Input.InstanceListRead(instanceList.current())));
    }

    void drained(EntryProgram p) {
        instanceList.entryState(p.self(), "absent");
        p.kill();
    }

    /** Logs every message whose kind is in {@code kinds}. */
    public Simulation logMessages(Set<String> kinds) {
        links.logTo(log, kinds);
        return this;
    }

    /** Puts all records of a trace on the queue. */
    public void schedule(List<TraceRecord> records) {
        for (TraceRecord r : records) {
            time.at(r.at() * VirtualTime.MS, () -> apply(r));
        }
    }

    /** Runs until {@code ms} since the start. */
    public void runUntilMs(long ms) {
        time.runUntil(ms * VirtualTime.MS);
    }

    private void apply(TraceRecord r) {
        if (r instanceof TraceRecord.Model m) {
            model(m);
        } else if (r instanceof TraceRecord.Service s) {
            service(s);
        } else if (r instanceof TraceRecord.CallerGone g) {
            callerGone(g.id());
        } else if (r instanceof TraceRecord.UpstreamState u) {
            instanceList.upstreamState(u.upstream(), u.state(), upstreams);
        } else if (r instanceof TraceRecord.Publish p) {
            pins.putAll(p.pins());
            configurationService.publish(deployment.configuration(p.number(), pins));
        } else if (r instanceof TraceRecord.ConfigurationService c) {
            configurationService.mode(c.mode());
        } else if (r instanceof TraceRecord.EngineRestart e) {
            engines.get(e.engine()).stop("restart", e.forMs());
        } else if (r instanceof TraceRecord.LoadFailures l) {
            store.failShare(l.share());
            time.after(l.forMs() * VirtualTime.MS, () -> store.failShare(0));
        } else if (r instanceof TraceRecord.SlowLinks l) {
            long end = time.now() + l.forMs() * VirtualTime.MS;
            delays.slow(l.share(), l.maxMs(), end);
            log.add(new LogEvent.SlowLinksStarted(time.now(), end + l.maxMs() * VirtualTime.MS));
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
            pause(programs.get(p.entry()), p.forMs());
        } else if (r instanceof TraceRecord.Kill k) {
            kill(programs.get(k.entry()));
        } else if (r instanceof TraceRecord.Start s) {
            start(s.entry());
        } else if (r instanceof TraceRecord.Drain d) {
            drain(programs.get(d.entry()));
        } else if (r instanceof TraceRecord.Silence s) {
            silence(s);
        } else {
            throw new IllegalStateException("unknown record " + r);
        }
    }

    private void pause(EntryProgram p, long forMs) {
        if (p.isRunning()) {
            p.pause();
            time.after(
                    forMs * VirtualTime.MS,
                    () -> {
                        if (p.isRunning()) {
                            p.resume();
                        }
                    });
        }
    }

    private void kill(EntryProgram p) {
        if (p.isRunning()) {
            p.kill();
            instanceList.entryState(p.self(), "absent");
        }
    }

    private void start(String entry) {
        EntryProgram old = programs.get(entry);
        if (!old.isRunning()) {
            startProgram(entry);
            instanceList.entryState(programs.get(entry).self(), "live");
        }
    }

    private void drain(EntryProgram p) {
        if (p.isRunning() && !p.isDraining()) {
            instanceList.entryState(p.self(), "leaving");
            p.drain();
        }
    }

    private void silence(TraceRecord.Silence s) {
        if (engines.containsKey(s.to())) {
            programs.get(s.from()).upstreams().silence(s.to());
        } else {
            links.silence(s.from(), s.to());
        }
    }

    private void callerGone(String request) {
        EntryProgram p = owners.get(request);
        if (p != null && p.isRunning() && p.callers().isOpen(request)) {
            log.add(new LogEvent.CallerDisconnected(time.now(), request));
            p.callers().gone(request);
            p.deliver(new Input.CallerDisconnected(request));
        }
    }

    /** Returns the named instance if it runs, or another one as a balancer would choose it. */
    private EntryProgram balanced(String entry) {
        EntryProgram named = programs.get(entry);
        if (named.isReady()) {
            return named;
        }
        return programs.values().stream()
                .filter(EntryProgram::isReady)
                .findFirst()
                .orElse(named.isRunning() ? named : null);
    }

    private void model(TraceRecord.Model m) {
        EntryProgram p = balanced(m.entry());
        if (p == null) {
            return;
        }
        contents.put(m.id(), new Content(m.tokens(), m.crashes()));
        arrived(p, m.id(), m.caller(), m.kind(), m.adapter(), "", m.budgetMs());
        byte[] body = EntryProgram.contentOf(m.id()).getBytes(StandardCharsets.UTF_8);
        p.callers().opened(m.id(), body);
        p.deliver(
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

    private void service(TraceRecord.Service s) {
        EntryProgram p = balanced(s.entry());
        if (p == null) {
            return;
        }
        arrived(p, s.id(), s.caller(), s.kind(), "", s.key(), s.budgetMs());
        byte[] body = EntryProgram.contentOf(s.id()).getBytes(StandardCharsets.UTF_8);
        p.callers().opened(s.id(), body);
        p.deliver(
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

    private void arrived(
            EntryProgram p,
            String id,
            String caller,
            String kind,
            String adapter,
            String key,
            long budgetMs) {
        owners.put(id, p);
        log.add(
                new LogEvent.RequestArrived(
                        time.now(), id, p.id(), caller, kind, adapter, key, budgetMs));
    }

    /** Returns the result of the run so far. */
    public RunResult result() {
        programs.values().stream()
                .filter(p -> p.isRunning() && p.isDraining())
                .forEach(p -> p.logDrainState(false));
        Map<String, BatchMeter> meters = new LinkedHashMap<>();
        engines.forEach((id, e) -> meters.put(id, e.meter()));
        return new RunResult(
                deployment,
                log,
                Map.copyOf(configurationService.published()),
                meters,
                store.loads(),
                links.messages(),
                links.bytes(),
                Map.copyOf(links.bytesByKind()),
                configurationService.calls(),
                Map.copyOf(measured),
                time.now());
    }
}
