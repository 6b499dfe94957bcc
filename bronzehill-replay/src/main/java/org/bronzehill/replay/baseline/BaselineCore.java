package org.bronzehill.replay.baseline;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.KindSpec;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.model.ServiceRequest;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.EntrySettings;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.IdSequence;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.replay.harness.DecisionCore;

/**
 * Decision code of a simple baseline policy. Only the first entry instance becomes ready and serves
 * all requests, so that coordination between instances costs nothing. This favours the baseline.
 */
public final class BaselineCore implements DecisionCore {

    private static final int MAX_ATTEMPTS = 3;
    private static final String ACTIVE_ENTRY = "entry-0";

    private final EngineChoice choice;
    private final String self;
    private final TimeSource time;
    private final RandomGenerator random;
    private final ConfigurationStore configuration = ConfigurationStore.create();
    private final IdSequence ids = IdSequence.create();
    private final Map<String, EngineView> engines = new HashMap<>();
    private final Map<Long, BaselineRequest> attempts = new HashMap<>();
    private final Map<String, BaselineRequest> openRequests = new HashMap<>();
    private final Map<Long, ServiceRequest> serviceCalls = new HashMap<>();
    private final Map<Long, Runnable> orderCallbacks = new HashMap<>();
    private final Map<Long, OrderOutcome> orderOutcomes = new HashMap<>();
    private final List<Runnable> loadRetries = new ArrayList<>();
    private InstanceList list = InstanceList.EMPTY;
    private Effects out;

    private BaselineCore(
            EngineChoice choice, EntrySettings settings, TimeSource time, RandomGenerator random) {
        this.choice = choice;
        this.self = settings.self().id();
        this.time = time;
        this.random = random;
    }

    /** Returns the factory of the policy that chooses engines in the given way. */
    public static DecisionCore.Factory factory(EngineChoice choice) {
        return (settings, time, random) -> new BaselineCore(choice, settings, time, random);
    }

    @Override
    public long configurationNumber() {
        return configuration.current().number();
    }

    @Override
    public void handle(Input input, Effects effects) {
        if (!self.equals(ACTIVE_ENTRY)) {
            return;
        }
        out = effects;
        if (input instanceof Input.Tick) {
            onTick();
        } else if (input instanceof Input.ConfigurationRead r) {
            configuration.offer(r.image());
            readConfiguration();
            becomeReady();
        } else if (input instanceof Input.ConfigurationReadFailed) {
            readConfiguration();
        } else if (input instanceof Input.InstanceListRead r) {
            onList(r.list());
        } else if (input instanceof Input.ModelRequested r) {
            startModelRequest(r.request());
        } else if (input instanceof Input.ServiceRequested r) {
            startServiceCall(r.request());
        } else if (input instanceof Input.OrderAnswered a) {
            orderOutcomes.put(a.orderId(), a.outcome());
            orderCallbacks.remove(a.orderId()).run();
        } else {
            onRequestEvent(input);
        }
    }

    private void onRequestEvent(Input input) {
        if (input instanceof Input.AttemptStarted s) {
            onStarted(attempts.get(s.attemptId()));
        } else if (input instanceof Input.AttemptFinished f) {
            onFinished(attempts.remove(f.attemptId()), f.chunks());
        } else if (input instanceof Input.AttemptFailed f) {
            onFailed(attempts.remove(f.attemptId()), f.reason());
        } else if (input instanceof Input.ServiceAnswered a) {
            answerService(serviceCalls.remove(a.callId()), a.answer());
        } else if (input instanceof Input.ServiceFailed f) {
            answerService(serviceCalls.remove(f.callId()), null);
        } else if (input instanceof Input.CallerDisconnected g) {
            cancel(openRequests.get(g.requestId()));
        }
    }

    private static void onStarted(BaselineRequest r) {
        if (r != null) {
            r.markStarted();
        }
    }

    private void onTick() {
        List<Runnable> retries = List.copyOf(loadRetries);
        loadRetries.clear();
        retries.forEach(Runnable::run);
        if (configurationNumber() == 0 && list.version() == 0) {
            readConfiguration();
        }
        if (list.version() == 0 || random.nextInt(20) == 0) {
            out.add(new Effect.ReadInstanceList(list.version()));
        }
        for (BaselineRequest r : List.copyOf(openRequests.values())) {
            if (time.nanoTime() > r.deadlineNanos()) {
                end(r, r.hasStarted() ? ResultCode.DEADLINE_PASSED : ResultCode.LOAD_FAILED, 0);
            }
        }
    }

    private void readConfiguration() {
        out.add(new Effect.ReadConfiguration(configurationNumber(), Duration.ofSeconds(30)));
    }

    private void becomeReady() {
        if (configurationNumber() > 0 && list.version() > 0) {
            out.add(new Effect.SetReady(true, ""));
        }
    }

    private void onList(InstanceList next) {
        list = next;
        next.upstreams().stream()
                .filter(u -> u.kind() == UpstreamKind.ENGINE)
                .forEach(
                        u ->
                                engines.computeIfAbsent(
                                        u.id(),
                                        id ->
                                                new EngineView(
                                                        id, u.engineProperties().adapterSlots())));
        becomeReady();
    }

    private void startModelRequest(ModelRequest q) {
        Configuration c = configuration.current();
        KindSpec kind = c.kind(q.kind()).getOrNull();
        int version = c.adapter(q.adapter()).map(a -> a.versionFor(q.kind())).getOrElse(0);
        long budget = (q.timeLeft() == null ? kind.deadline() : q.timeLeft()).toNanos();
        AdapterVersion adapter = new AdapterVersion(q.adapter(), version);
        BaselineRequest r = new BaselineRequest(q, kind, adapter, time.nanoTime() + budget);
        openRequests.put(q.requestId(), r);
        if (isEntitled(c, q)) {
            assign(r);
        } else {
            end(r, ResultCode.NOT_ENTITLED, 0);
        }
    }

    private static boolean isEntitled(Configuration c, ModelRequest q) {
        String hash = ImageCodec.hash(q.token().getBytes(StandardCharsets.UTF_8));
        return c.caller(hash)
                .flatMap(
                        caller ->
                                c.adapter(q.adapter())
                                        .filter(a -> caller.team().groups().contains(a.group())))
                .isDefined();
    }

    private void assign(BaselineRequest r) {
        List<EngineView> live = new ArrayList<>();
        list.upstreams().stream()
                .filter(u -> u.acceptsWork() && engines.containsKey(u.id()))
                .forEach(u -> live.add(engines.get(u.id())));
        EngineView e = choice.choose(r.adapter().adapter(), live, random);
        r.assignTo(e);
        e.addOpenRequest();
        place(r);
    }

    private void place(BaselineRequest r) {
        EngineView e = r.engine();
        EngineView.Resident resident = e.resident(r.adapter());
        if (resident == null) {
            AdapterVersion evicted = e.hasFreeSlot() ? null : e.evictionCandidate();
            if (evicted == null && !e.hasFreeSlot()) {
                e.waitingForSlot().add(r);
                return;
            }
            if (evicted != null) {
                order(e, OrderKind.EVICT, e.handle(evicted), evicted, () -> {});
                e.remove(evicted);
            }
            resident = e.add(r.adapter());
            load(e, r.adapter(), resident);
        }
        if (resident.isLoading()) {
            resident.waiting().add(r);
        } else {
            send(r);
        }
    }

    private void load(EngineView e, AdapterVersion adapter, EngineView.Resident resident) {
        String handle = e.handle(adapter);
        long[] id = new long[1];
        id[0] =
                order(
                        e,
                        OrderKind.LOAD,
                        handle,
                        adapter,
                        () -> {
                            OrderOutcome outcome = orderOutcomes.remove(id[0]);
                            if (e.resident(adapter) != resident) {
                                return;
                            }
                            if (outcome == OrderOutcome.DONE) {
                                resident.markLoaded().forEach(this::send);
                            } else {
                                loadRetries.add(() -> retryLoad(e, adapter, resident));
                            }
                        });
    }

    /**
     * Orders the load of the same handle again; an engine that is still loading it answers both.
     */
    private void retryLoad(EngineView e, AdapterVersion adapter, EngineView.Resident resident) {
        if (e.resident(adapter) == resident) {
            load(e, adapter, resident);
        }
    }

    private long order(
            EngineView e, OrderKind kind, String handle, AdapterVersion adapter, Runnable done) {
        long id = ids.next();
        orderCallbacks.put(
                id,
                () -> {
                    done.run();
                    orderOutcomes.remove(id);
                });
        out.add(new Effect.OrderEngine(id, e.id(), kind, handle, adapter, "", id, ""));
        return id;
    }

    private void send(BaselineRequest r) {
        if (r.isEnded()) {
            return;
        }
        EngineView e = r.engine();
        e.changeUseCount(r.adapter(), 1);
        r.startAttempt(ids.next());
        attempts.put(r.attemptId(), r);
        Duration left = Duration.ofNanos(Math.max(1, r.deadlineNanos() - time.nanoTime()));
        out.add(
                new Effect.StartAttempt(
                        r.attemptId(),
                        e.id(),
                        e.handle(r.adapter()),
                        r.request().requestId(),
                        r.attempt(),
                        self,
                        r.request().body(),
                        true,
                        new Effect.AttemptLimits(
                                left, r.kind().silence(), r.kind().urgency().ordinal())));
    }

    private void onFinished(BaselineRequest r, long chunks) {
        if (r != null) {
            r.engine().changeUseCount(r.adapter(), -1);
            end(r, ResultCode.OK, chunks);
        }
    }

    private void onFailed(BaselineRequest r, FailureReason reason) {
        if (r == null) {
            return;
        }
        EngineView e = r.engine();
        e.changeUseCount(r.adapter(), -1);
        if (reason == FailureReason.BROKEN || reason == FailureReason.REFUSED) {
            e.resetAfterRestart().stream().filter(w -> w != r && !w.isEnded()).forEach(this::retry);
        }
        if (r.isEnded()) {
            return;
        }
        if (r.hasStarted() || r.attempt() >= MAX_ATTEMPTS) {
            end(r, ResultCode.UPSTREAM_FAILED, 0);
        } else {
            retry(r);
        }
    }

    private void retry(BaselineRequest r) {
        r.engine().removeOpenRequest();
        assign(r);
    }

    private void cancel(BaselineRequest r) {
        if (r != null) {
            end(r, ResultCode.CANCELLED, 0);
        }
    }

    private void end(BaselineRequest r, ResultCode code, long chunks) {
        if (r.isEnded()) {
            return;
        }
        r.markEnded();
        openRequests.remove(r.request().requestId());
        String engine = "";
        if (r.engine() != null) {
            engine = r.engine().id();
            r.engine().removeOpenRequest();
            if (attempts.containsKey(r.attemptId())) {
                out.add(new Effect.CancelAttempt(r.attemptId()));
            }
            List<BaselineRequest> waiting = List.copyOf(r.engine().waitingForSlot());
            r.engine().waitingForSlot().clear();
            waiting.stream().filter(b -> !b.isEnded()).forEach(this::place);
        }
        out.add(
                new Effect.Answer(
                        r.request().requestId(),
                        r.attempt(),
                        code,
                        new Provenance(
                                r.adapter().adapter(),
                                r.adapter().version(),
                                configurationNumber(),
                                engine,
                                self),
                        chunks,
                        null,
                        Duration.ZERO,
                        Duration.ZERO,
                        ""));
    }

    private void startServiceCall(ServiceRequest q) {
        List<String> runners =
                list.upstreams().stream()
                        .filter(u -> u.acceptsWork() && u.services().contains(q.service()))
                        .map(u -> u.id())
                        .toList();
        long id = ids.next();
        serviceCalls.put(id, q);
        out.add(
                new Effect.CallService(
                        id,
                        runners.get(random.nextInt(runners.size())),
                        q.service(),
                        q.operation(),
                        q.key(),
                        q.body(),
                        q.contentType(),
                        q.requestId(),
                        Duration.ofSeconds(5)));
    }

    private void answerService(ServiceRequest q, Input.ServiceAnswer answer) {
        ResultCode code = answer == null ? ResultCode.UPSTREAM_FAILED : ResultCode.OK;
        out.add(
                new Effect.Answer(
                        q.requestId(),
                        0,
                        code,
                        new Provenance("", 0, configurationNumber(), "", self),
                        -1,
                        answer,
                        Duration.ZERO,
                        Duration.ZERO,
                        ""));
    }
}
