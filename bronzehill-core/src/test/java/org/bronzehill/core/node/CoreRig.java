package org.bronzehill.core.node;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationBase;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.KindSpec;
import org.bronzehill.config.Limits;
import org.bronzehill.config.Manifest;
import org.bronzehill.config.Policy;
import org.bronzehill.config.TeamSpec;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.model.CacheEvents;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.model.ServiceRequest;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Decision cores on virtual time with fakes for everything outside. Messages between cores,
 * platform reads and adapter loads are answered immediately; the test itself ends attempts and
 * service calls.
 */
final class CoreRig {

    static final String TOKEN = "token-1";
    private static final Duration TICK = Duration.ofMillis(50);
    private static final byte[] BODY = "{}".getBytes(StandardCharsets.UTF_8);

    final ManualTimeSource time = ManualTimeSource.startingAt(Instant.ofEpochSecond(1_800_000_000));
    final Map<String, EntryCore> cores = new LinkedHashMap<>();
    final List<Effect.StartAttempt> attempts = new ArrayList<>();
    final List<Effect.CallService> calls = new ArrayList<>();
    final List<Effect.Answer> answers = new ArrayList<>();
    final List<Effect.ReadCacheEvents> cacheReads = new ArrayList<>();
    final List<Effect> otherEffects = new ArrayList<>();
    final Map<String, Integer> envelopeCounts = new LinkedHashMap<>();
    Predicate<Envelope> dropMessage = envelope -> false;
    final Set<String> unlistedEngines = new HashSet<>();
    boolean platformAvailable = true;
    boolean answerLoadsAtOnce = true;
    Configuration configuration = configuration(1, 1);
    private final Queue<Runnable> pending = new ArrayDeque<>();
    private final Map<Long, String> attemptHolder = new LinkedHashMap<>();
    private final Map<Long, Effect.OrderEngine> pendingOrders = new LinkedHashMap<>();
    private final Map<Long, String> orderHolder = new LinkedHashMap<>();
    private final Map<String, List<String>> loadedHandles = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    final Map<String, List<CacheEvents.Event>> cacheEvents = new LinkedHashMap<>();
    private final int engines;

    private record Watch(String instance, long endNanos) {}

    private CoreRig(int instances, int engines) {
        this.engines = engines;
        for (int i = 1; i <= instances; i++) {
            InstanceRef ref = ref(i, (1_800_000_000_000L + i) << 16);
            cores.put(
                    ref.id(),
                    EntryCore.create(EntrySettings.of(ref), time, new SplittableRandom(i)));
        }
    }

    /** Creates a rig whose instances are ready and whose engines all have a lease holder. */
    static CoreRig ready(int instances, int engines) {
        CoreRig rig = new CoreRig(instances, engines);
        rig.run(Duration.ofSeconds(8));
        rig.otherEffects.clear();
        return rig;
    }

    private static InstanceRef ref(int i, long incarnation) {
        return new InstanceRef("entry-" + i, incarnation, "127.0.0.1", 7000 + i, "dc-1", "r-1");
    }

    static Configuration configuration(long number, int version) {
        KindSpec chat = kind("chat", Urgency.INTERACTIVE, 20, true, "");
        KindSpec single = kind("single", Urgency.PROMPT, 20, false, "");
        KindSpec lookup = kind("lookup", Urgency.PROMPT, 5, true, "pickup");
        KindSpec act =
                new KindSpec(
                        "act",
                        Urgency.PROMPT,
                        Duration.ofSeconds(5),
                        true,
                        false,
                        1,
                        "pickup",
                        Duration.ofSeconds(5));
        TeamSpec member =
                new TeamSpec(
                        "m-1",
                        1,
                        Set.of("chat", "single", "lookup", "act"),
                        Set.of("g-1"),
                        Map.of(
                                ImageCodec.hash(TOKEN.getBytes(StandardCharsets.UTF_8)),
                                "caller-1"));
        ConfigurationBase base =
                new ConfigurationBase(
                        Set.of("base"),
                        Map.of("chat", chat, "single", single, "lookup", lookup, "act", act),
                        Map.of("m-1", member),
                        Limits.DEFAULTS,
                        Policy.DEFAULTS);
        Map<Integer, String> versions = Map.of(1, "weights-1", 2, "weights-2");
        return Configuration.of(
                number,
                base,
                List.of(
                        new AdapterSpec("a-1", "base", "g-1", versions, Map.of("*", version)),
                        new AdapterSpec("a-2", "base", "g-2", versions, Map.of("*", version))));
    }

    private static KindSpec kind(
            String name, Urgency urgency, int seconds, boolean repeatable, String service) {
        Duration deadline = Duration.ofSeconds(seconds);
        Duration silence = Duration.ofSeconds(5);
        return new KindSpec(name, urgency, deadline, false, repeatable, 1, service, silence);
    }

    InstanceList list() {
        List<ListedInstance> listed = new ArrayList<>();
        for (int i = 1; i <= cores.size(); i++) {
            listed.add(new ListedInstance(ref(i, 0), ListedState.LIVE));
        }
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 1; i <= engines; i++) {
            if (!unlistedEngines.contains("engine-" + i)) {
                upstreams.add(upstream("engine-" + i, UpstreamKind.ENGINE, Set.of()));
            }
        }
        upstreams.add(upstream("runner-1", UpstreamKind.APPLICATION_RUNNER, Set.of("pickup")));
        return new InstanceList(1 + unlistedEngines.size(), listed, upstreams);
    }

    private static Upstream upstream(String id, UpstreamKind kind, Set<String> services) {
        return new Upstream(
                id,
                kind,
                URI.create("http://127.0.0.1:9000"),
                "dc-1",
                "r-1",
                ListedState.LIVE,
                kind == UpstreamKind.ENGINE
                        ? new Upstream.EngineProperties("base", 8, 8)
                        : Upstream.EngineProperties.NONE,
                true,
                services);
    }

    /** Advances the time tick by tick and handles the effects of each tick. */
    void run(Duration duration) {
        for (long t = 0; t < duration.toMillis(); t += TICK.toMillis()) {
            time.advance(TICK);
            endWatches();
            cores.keySet().forEach(id -> feed(id, new Input.Tick()));
        }
    }

    private void endWatches() {
        for (Watch w : List.copyOf(watches)) {
            if (time.nanoTime() - w.endNanos() >= 0) {
                watches.remove(w);
                Manifest same = new Manifest(configuration.number(), "", List.of());
                Input end = new Input.ConfigurationRead(new ConfigurationImage(same, Map.of()));
                feed(w.instance(), end);
            }
        }
    }

    /** Delivers an input and then all messages and answers that result from it. */
    void feed(String instance, Input input) {
        cores.get(instance).handle(input, e -> pending.add(() -> handleEffect(instance, e)));
        while (!pending.isEmpty()) {
            pending.remove().run();
        }
    }

    private void deliver(String instance, Input input) {
        cores.get(instance).handle(input, e -> pending.add(() -> handleEffect(instance, e)));
    }

    private void handleEffect(String from, Effect effect) {
        if (effect instanceof Effect.SendPeer e) {
            Envelope envelope = e.envelope().build();
            envelopeCounts.merge(envelope.getBodyCase().name(), 1, Integer::sum);
            if (!dropMessage.test(envelope) && cores.containsKey(e.instance())) {
                deliver(e.instance(), new Input.PeerReceived(envelope));
            }
        } else if (effect instanceof Effect.StartAttempt e) {
            attempts.add(e);
            attemptHolder.put(key(from, e.attemptId()), from);
        } else if (effect instanceof Effect.CallService e) {
            calls.add(e);
        } else if (effect instanceof Effect.Answer e) {
            answers.add(e);
        } else if (effect instanceof Effect.OrderEngine e) {
            answerOrder(from, e);
        } else if (effect instanceof Effect.ReadEngineReport e) {
            deliver(from, new Input.EngineReported(report(e.engine())));
        } else if (effect instanceof Effect.ReadCacheEvents e) {
            List<CacheEvents.Event> events =
                    cacheEvents.getOrDefault(e.engine(), List.of()).stream()
                            .filter(event -> event.sequence() > e.after())
                            .toList();
            cacheReads.add(e);
            deliver(
                    from,
                    new Input.CacheEventsRead(new CacheEvents(e.engine(), e.after(), events)));
        } else if (!answerPlatformRead(from, effect)) {
            otherEffects.add(effect);
        }
    }

    private static long key(String instance, long id) {
        return instance.hashCode() * 1_000_003L + id;
    }

    private boolean answerPlatformRead(String from, Effect effect) {
        if (effect instanceof Effect.ReadInstanceList) {
            if (platformAvailable) {
                deliver(from, new Input.InstanceListRead(list()));
            }
            return true;
        }
        if (effect instanceof Effect.ReadConfiguration e) {
            boolean watch = !e.maxWait().isZero() && e.haveNumber() >= configuration.number();
            if (!platformAvailable) {
                deliver(from, new Input.ConfigurationReadFailed("no answer"));
            } else if (watch) {
                watches.add(new Watch(from, time.nanoTime() + e.maxWait().toNanos()));
            } else {
                deliver(from, new Input.ConfigurationRead(ImageCodec.encode(configuration)));
            }
            return true;
        }
        return false;
    }

    private void answerOrder(String from, Effect.OrderEngine e) {
        if (!answerLoadsAtOnce) {
            pendingOrders.put(key(from, e.orderId()), e);
            orderHolder.put(key(from, e.orderId()), from);
            return;
        }
        if (e.kind() == OrderKind.LOAD) {
            loadedHandles.computeIfAbsent(e.engine(), k -> new ArrayList<>()).add(e.handle());
        }
        deliver(from, new Input.OrderAnswered(e.orderId(), OrderOutcome.DONE, e.fencing()));
    }

    /** Returns the number of orders whose answer is held back. */
    int pendingLoads() {
        return pendingOrders.size();
    }

    /** Returns the engine of the first order whose answer is held back. */
    String loadingEngine() {
        return pendingOrders.values().iterator().next().engine();
    }

    /** Returns the number of reads of an engine's cache events. */
    int cacheEventReads(String engine) {
        return (int) cacheReads.stream().filter(r -> r.engine().equals(engine)).count();
    }

    /** Answers the orders that were held back. */
    void answerLoads() {
        answerLoadsAtOnce = true;
        Map<Long, Effect.OrderEngine> orders = new LinkedHashMap<>(pendingOrders);
        pendingOrders.clear();
        orders.forEach((key, e) -> pending.add(() -> answerOrder(orderHolder.get(key), e)));
        while (!pending.isEmpty()) {
            pending.remove().run();
        }
    }

    private EngineReport report(String engine) {
        List<EngineReport.HandleReport> handles =
                loadedHandles.getOrDefault(engine, List.of()).stream()
                        .map(h -> new EngineReport.HandleReport(h, false, 0))
                        .toList();
        long stamp = time.instant().toEpochMilli();
        return new EngineReport(engine, 1, stamp, 0, handles, 0, 0, List.of());
    }

    static ModelRequest chat(String id) {
        return request(id, "chat", "a-1", TOKEN, null);
    }

    /** Returns a request whose answer is not streamed. */
    static ModelRequest collected(String id) {
        return new ModelRequest(id, TOKEN, "chat", "a-1", null, BODY, false, 0, 16);
    }

    static ModelRequest request(
            String id, String kind, String adapter, String token, Duration budget) {
        return new ModelRequest(id, token, kind, adapter, budget, BODY, true, 0, 16);
    }

    static ServiceRequest service(String id, String kind, String key) {
        return new ServiceRequest(
                id, TOKEN, kind, "pickup", "confirm", key, null, BODY, "application/json");
    }

    void submit(String instance, ModelRequest request) {
        feed(instance, new Input.ModelRequested(request));
    }

    /** Returns the last attempt that was started. */
    Effect.StartAttempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Returns the instance that started an attempt. */
    String holderOf(Effect.StartAttempt attempt) {
        return cores.keySet().stream()
                .filter(id -> id.equals(attemptHolder.get(key(id, attempt.attemptId()))))
                .findFirst()
                .orElseThrow();
    }

    /** Completes an attempt successfully, after its chunks have reached the origin. */
    void finish(Effect.StartAttempt a, long chunks) {
        feed(holderOf(a), new Input.AttemptStarted(a.attemptId()));
        feed(a.origin(), new Input.AnswerProgress(a.requestId(), a.attempt(), 1));
        feed(holderOf(a), new Input.AttemptFinished(a.attemptId(), chunks, (int) chunks));
    }

    /** Fails an attempt. */
    void fail(Effect.StartAttempt a, FailureReason reason, long chunks) {
        feed(holderOf(a), new Input.AttemptFailed(a.attemptId(), reason, chunks, "test"));
    }

    /** Returns the lease holder of an engine according to the given instance. */
    String holderSeenBy(String observer, String engine) {
        return cores.get(observer).status().upstreams().stream()
                .filter(u -> u.id().equals(engine))
                .findFirst()
                .orElseThrow()
                .holder();
    }
}
