package org.bronzehill.core.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.OrderKind;
import org.bronzehill.core.node.OrderOutcome;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/**
 * Simulates an engine that ignores fencing numbers, its weight store and successive lease holders
 * on virtual time, with random faults. It records every violation of the scheduler's invariants.
 */
final class EngineSimulation {

    /** An adapter on the engine, loaded or being loaded. */
    private static final class Loaded {
        private final long readyMs;
        private final Set<Long> running = new LinkedHashSet<>();

        Loaded(long readyMs) {
            this.readyMs = readyMs;
        }
    }

    /** An attempt as observed outside the scheduler. */
    private static final class ObservedAttempt {
        private final String request;
        private final String handle;
        private FailureReason failure;
        private boolean ended;

        ObservedAttempt(String request, String handle) {
            this.request = request;
            this.handle = handle;
        }
    }

    private record Event(long atMs, long order, Runnable action) {}

    private static final String[] KINDS = {"chat", "lookup", "summary", "plan"};

    final List<String> violations = new ArrayList<>();
    final SchedulerFixture f = new SchedulerFixture();
    private final Random random;
    private final EvictionRule rule;
    private final double faults;
    private final List<EngineScheduler> schedulers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final Map<String, Loaded> loaded = new TreeMap<>();
    private final Map<Long, ObservedAttempt> attempts = new HashMap<>();
    private final Set<String> submitted = new HashSet<>();
    private int handledEffects;
    private int handledIntents;
    private int handledFinishedIntents;
    private final Set<String> openIntents = new LinkedHashSet<>();
    private long startNumber = 1;
    private long fencing = 100;
    private long nowMs;
    private long eventOrder;
    private boolean leaving;

    EngineSimulation(long seed, EvictionRule rule, double faults) {
        this.random = new Random(seed);
        this.rule = rule;
        this.faults = faults;
        f.upstream = SchedulerFixture.upstream(ListedState.LIVE, 3, 4, false);
        startNewHolder();
    }

    /**
     * Runs requests and faults for the given time, then waits for all requests to end and checks
     * their results.
     */
    void run(long millis) {
        for (long end = nowMs + millis; nowMs < end; ) {
            if (random.nextDouble() < 0.06) {
                submit();
            }
            injectFaults();
            step();
        }
        for (int i = 0; i < 70_000 && inFlight() > 0; i++) {
            step();
        }
        checkResults();
    }

    private int inFlight() {
        return schedulers.stream().mapToInt(EngineScheduler::inFlight).sum();
    }

    private void submit() {
        String id = "r" + submitted.size();
        submitted.add(id);
        String kind = KINDS[random.nextInt(KINDS.length)];
        String adapter = "a" + (int) Math.abs(random.nextGaussian() * 4);
        long deadline = kind.equals("plan") ? 60_000 : 1000 + random.nextInt(15_000);
        EngineRequest r =
                f.request(id, random.nextBoolean() ? "m1" : "m2", kind, adapter, deadline);
        f.scheduler.submit(r, f.out);
    }

    private void injectFaults() {
        if (chance(0.0003)) {
            startNumber++;
            loaded.values().forEach(l -> new ArrayList<>(l.running).forEach(this::breakAttempt));
            loaded.clear();
        }
        if (chance(0.0003) && !leaving) {
            f.leaseHeld = false;
            f.scheduler.onLeaseLost(f.out);
            f.leaseHeld = true;
            startNewHolder();
        }
        if (chance(0.001) && !submitted.isEmpty()) {
            f.scheduler.cancel("r" + random.nextInt(submitted.size()), 1, f.out);
        }
        if (chance(0.0005)) {
            f.versions.put("a" + random.nextInt(4), 1 + random.nextInt(2));
            f.configure();
        }
        if (chance(0.00003)) {
            leaving = true;
            f.upstream = SchedulerFixture.upstream(ListedState.LEAVING, 3, 4, false);
            f.scheduler.onUpstream(f.upstream, f.out);
        }
    }

    private boolean chance(double p) {
        return random.nextDouble() < p * faults;
    }

    private void startNewHolder() {
        fencing += 7;
        Set<String> intents = random.nextInt(4) == 0 ? Set.of() : Set.copyOf(openIntents);
        boolean known = intents.size() == openIntents.size();
        f.start(new Lease(SchedulerFixture.RESOURCE, fencing, known, intents), rule);
        schedulers.add(f.scheduler);
    }

    private void step() {
        f.time.advance(Duration.ofMillis(10));
        nowMs += 10;
        while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
            events.poll().action().run();
            handleEffects();
        }
        if (nowMs % 50 == 0) {
            schedulers.forEach(s -> s.onTick(f.out));
        }
        if (nowMs % 250 == 0) {
            EngineReport report = report();
            EngineScheduler holder = f.scheduler;
            long lag = random.nextInt(10) == 0 ? 1500 : random.nextInt(200);
            later(lag, () -> deliver(holder, report));
        }
        if (nowMs % 100 == 0 && !f.permits.isEmpty()) {
            f.grant();
        }
        handleEffects();
    }

    private void deliver(EngineScheduler holder, EngineReport report) {
        if (holder == f.scheduler) {
            holder.onReport(report, f.out);
        }
    }

    private EngineReport report() {
        List<EngineReport.HandleReport> handles = new ArrayList<>();
        loaded.forEach(
                (name, l) ->
                        handles.add(
                                new EngineReport.HandleReport(
                                        name, l.readyMs > nowMs, l.running.size())));
        return new EngineReport(
                SchedulerFixture.ENGINE, startNumber, nowMs + 5000, 0, handles, 0, 0, List.of());
    }

    private void later(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventOrder++, action));
    }

    private void handleEffects() {
        for (; handledIntents < f.intents.size(); handledIntents++) {
            String handle = f.intents.get(handledIntents);
            openIntents.add(handle);
            later(chance(0.05) ? 1500 : 3, () -> f.scheduler.onIntentAcknowledged(handle, f.out));
        }
        for (; handledFinishedIntents < f.finishedIntents.size(); handledFinishedIntents++) {
            openIntents.remove(f.finishedIntents.get(handledFinishedIntents));
        }
        for (; handledEffects < f.effects.size(); handledEffects++) {
            Effect e = f.effects.get(handledEffects);
            if (e instanceof Effect.OrderEngine o && o.kind() == OrderKind.LOAD) {
                load(o);
            } else if (e instanceof Effect.OrderEngine o) {
                evict(o);
            } else if (e instanceof Effect.StartAttempt s) {
                start(s);
            } else if (e instanceof Effect.CancelAttempt c && !chance(0.2)) {
                later(1, () -> fail(c.attemptId(), FailureReason.CANCELLED));
            }
        }
    }

    private void load(Effect.OrderEngine o) {
        if (leaving) {
            violations.add("load ordered at a leaving engine: " + o.handle());
        }
        boolean lost = chance(0.1);
        if (lost && random.nextBoolean()) {
            later(1000, () -> answer(o, OrderOutcome.UNKNOWN));
            return;
        }
        later(
                2,
                () -> {
                    if (chance(0.1)) {
                        answer(o, OrderOutcome.STORE_FAILED);
                    } else if (!loaded.containsKey(o.handle()) && loaded.size() >= 3) {
                        answer(o, OrderOutcome.FULL);
                    } else {
                        long ready = nowMs + 250;
                        loaded.putIfAbsent(o.handle(), new Loaded(ready));
                        later(
                                lost ? 1000 : 250,
                                () -> answer(o, lost ? OrderOutcome.UNKNOWN : OrderOutcome.DONE));
                    }
                });
    }

    private void evict(Effect.OrderEngine o) {
        attempts.forEach(
                (id, a) -> {
                    if (a.handle.equals(o.handle())
                            && !a.ended
                            && !f.results.containsKey(a.request)) {
                        violations.add("evict order for " + o.handle() + " in use by " + a.request);
                    }
                });
        boolean lost = chance(0.1);
        if (lost && random.nextBoolean()) {
            later(1000, () -> answer(o, OrderOutcome.UNKNOWN));
            return;
        }
        later(
                chance(0.1) ? 800 : 2,
                () -> {
                    Loaded l = loaded.remove(o.handle());
                    if (l != null && !l.running.isEmpty()) {
                        new ArrayList<>(l.running).forEach(id -> interrupt(o.handle(), id));
                    }
                    OrderOutcome done = l == null ? OrderOutcome.UNKNOWN_HANDLE : OrderOutcome.DONE;
                    later(lost ? 1000 : 1, () -> answer(o, lost ? OrderOutcome.UNKNOWN : done));
                });
    }

    private void interrupt(String handle, long id) {
        if (!f.results.containsKey(attempts.get(id).request)) {
            violations.add("eviction of " + handle + " cut off " + attempts.get(id).request);
        }
        breakAttempt(id);
    }

    private void answer(Effect.OrderEngine o, OrderOutcome outcome) {
        schedulers.forEach(s -> s.onOrderAnswered(o.orderId(), outcome, 0, f.out));
    }

    private void start(Effect.StartAttempt s) {
        if (leaving) {
            violations.add("attempt started at a leaving engine: " + s.requestId());
        }
        attempts.put(s.attemptId(), new ObservedAttempt(s.requestId(), s.handle()));
        if (chance(0.02)) {
            later(1, () -> fail(s.attemptId(), FailureReason.NOT_SENT));
            return;
        }
        later(
                1,
                () -> {
                    Loaded l = loaded.get(s.handle());
                    if (l == null || l.readyMs > nowMs) {
                        fail(s.attemptId(), FailureReason.REFUSED);
                        return;
                    }
                    l.running.add(s.attemptId());
                    schedulers.forEach(x -> x.onFirstOutput(s.attemptId(), f.out));
                    long service = 20 + random.nextInt(800);
                    if (chance(0.02)) {
                        // The engine keeps running the request after its connection fell silent.
                        later(400, () -> fail(s.attemptId(), FailureReason.SILENT));
                        later(2000, () -> l.running.remove(s.attemptId()));
                    } else {
                        later(service, () -> finish(l, s.attemptId()));
                    }
                });
    }

    private void finish(Loaded l, long id) {
        if (l.running.remove(id) && !attempts.get(id).ended) {
            attempts.get(id).ended = true;
            schedulers.forEach(s -> s.onAttemptFinished(id, 3, 10, f.out));
        }
    }

    private void breakAttempt(long id) {
        loaded.values().forEach(l -> l.running.remove(id));
        fail(id, FailureReason.BROKEN);
    }

    private void fail(long id, FailureReason reason) {
        ObservedAttempt a = attempts.get(id);
        if (a.ended) {
            return;
        }
        a.ended = true;
        a.failure = reason;
        if (reason == FailureReason.CANCELLED) {
            loaded.values().forEach(l -> l.running.remove(id));
        }
        String detail = reason == FailureReason.REFUSED ? "unknown_handle" : "";
        schedulers.forEach(s -> s.onAttemptFailed(id, reason, 0, detail, f.out));
    }

    private void checkResults() {
        for (String id : submitted) {
            List<EngineResult> results = f.results.getOrDefault(id, List.of());
            if (results.size() != 1) {
                violations.add(id + " ended " + results.size() + " times");
            }
            for (EngineResult r : results) {
                if (r.code().runState() == RunState.NOT_RUN) {
                    checkNotRun(id, r.code());
                }
            }
        }
    }

    private void checkNotRun(String id, ResultCode code) {
        for (ObservedAttempt a : attempts.values()) {
            boolean mayHaveRun = a.failure == null || !a.failure.provesNotRun();
            if (a.request.equals(id) && mayHaveRun) {
                violations.add(id + " ended with " + code + " after an attempt that may have run");
            }
        }
    }

    /** Returns the number of requests that ended with the code. */
    long count(ResultCode code) {
        return f.results.values().stream().filter(l -> l.get(0).code() == code).count();
    }

    int submittedCount() {
        return submitted.size();
    }
}
