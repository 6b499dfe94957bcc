package org.bronzehill.replay.harness;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.node.OrderOutcome;

/** Connections of one instance to engines and application runners. */
final class UpstreamConnections {

    private static final long ONE_WAY_LATENCY_NANOS = 300_000;
    private static final long REPORT_READ_NANOS = 2 * VirtualTime.NANOS_PER_MS;
    private static final long ORDER_TIMEOUT_NANOS = 10_000 * VirtualTime.NANOS_PER_MS;

    /** Attempt to run a request on an engine, as seen by this instance. */
    private final class Attempt implements EngineRun.Listener {
        private final Effect.StartAttempt effect;
        private EngineRun run;
        private long lastEventNanos;
        private int chunks;
        private boolean ended;

        private Attempt(Effect.StartAttempt effect) {
            this.effect = effect;
            this.lastEventNanos = simulation.time().now();
        }

        @Override
        public void started() {
            afterLatency(() -> instance.deliver(new Input.AttemptStarted(effect.attemptId())));
        }

        @Override
        public void chunk(int sequence, int total) {
            afterLatency(
                    () -> {
                        lastEventNanos = simulation.time().now();
                        chunks++;
                        instance.relay(effect, sequence, total);
                    });
        }

        @Override
        public void complete(int total) {
            afterLatency(
                    () -> {
                        release();
                        instance.deliver(
                                new Input.AttemptFinished(
                                        effect.attemptId(), chunks, run.tokens()));
                    });
        }

        @Override
        public void failed(FailureReason reason) {
            afterLatency(() -> end(reason));
        }

        /**
         * Delivers a connection event to this instance after the network latency, unless the
         * attempt has ended by then.
         */
        private void afterLatency(Runnable body) {
            simulation
                    .time()
                    .after(
                            ONE_WAY_LATENCY_NANOS,
                            () ->
                                    instance.run(
                                            () -> {
                                                if (!ended) {
                                                    body.run();
                                                }
                                            }));
        }

        private void end(FailureReason reason) {
            release();
            instance.deliver(
                    new Input.AttemptFailed(effect.attemptId(), reason, chunks, reason.name()));
        }

        private void release() {
            ended = true;
            if (run != null) {
                run.stopAwaiting();
            }
            attempts.remove(effect.attemptId());
        }

        private void scheduleIdleCheck() {
            long limit = effect.limits().idleTimeout().toNanos();
            simulation
                    .time()
                    .after(
                            Math.max(
                                    VirtualTime.NANOS_PER_MS,
                                    lastEventNanos + limit - simulation.time().now()),
                            () -> instance.run(this::checkIdleTimeout));
        }

        private void checkIdleTimeout() {
            if (ended) {
                return;
            }
            if (simulation.time().now() - lastEventNanos
                    >= effect.limits().idleTimeout().toNanos()) {
                abort(FailureReason.SILENT);
            } else {
                scheduleIdleCheck();
            }
        }

        private void abort(FailureReason reason) {
            if (!ended) {
                closeConnection();
                end(reason);
            }
        }

        /** Closes the connection. The engine is not notified if the connection is silent. */
        private void closeConnection() {
            if (run != null) {
                run.stopAwaiting();
                if (!run.isSilent()) {
                    run.silence();
                    EngineRun r = run;
                    simulation
                            .time()
                            .after(ONE_WAY_LATENCY_NANOS, () -> engine(effect.engine()).cancel(r));
                }
            }
        }
    }

    private final EntryInstance instance;
    private final Simulation simulation;
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private int openCalls;

    UpstreamConnections(EntryInstance instance, Simulation simulation) {
        this.instance = instance;
        this.simulation = simulation;
    }

    private FakeEngine engine(String id) {
        return simulation.engine(id);
    }

    private long drawAndLogRequestDelay(String upstream) {
        long extra = simulation.delays().extraNanos();
        long sent = simulation.time().now();
        if (extra > 0) {
            simulation
                    .time()
                    .after(
                            ONE_WAY_LATENCY_NANOS + extra,
                            () ->
                                    simulation
                                            .log()
                                            .add(
                                                    new LogEvent.DelayedDelivery(
                                                            simulation.time().now(),
                                                            upstream,
                                                            sent)));
        }
        return ONE_WAY_LATENCY_NANOS + extra;
    }

    int callsInFlight() {
        return openCalls;
    }

    int attemptsInFlight() {
        return attempts.size();
    }

    void start(Effect.StartAttempt effect) {
        Attempt a = new Attempt(effect);
        attempts.put(effect.attemptId(), a);
        FakeEngine e = engine(effect.engine());
        simulation
                .time()
                .after(
                        drawAndLogRequestDelay(effect.engine()),
                        () -> {
                            if (a.ended) {
                                return;
                            }
                            if (e == null || !e.isUp()) {
                                a.failed(FailureReason.NOT_SENT);
                                return;
                            }
                            a.run = new EngineRun(parameters(effect), instance.id(), a);
                            e.submit(a.run);
                        });
        a.scheduleIdleCheck();
        simulation
                .time()
                .after(
                        effect.limits().deadline().toNanos(),
                        () -> instance.run(() -> a.abort(FailureReason.TIMED_OUT)));
    }

    private EngineRun.Parameters parameters(Effect.StartAttempt effect) {
        Simulation.RequestProfile profile = simulation.requestProfile(effect.requestId());
        return new EngineRun.Parameters(
                effect.requestId(),
                effect.attempt(),
                effect.handle(),
                effect.limits().priority(),
                profile.tokens(),
                profile.crashes());
    }

    void cancel(long attemptId) {
        Attempt a = attempts.get(attemptId);
        if (a != null) {
            a.abort(FailureReason.CANCELLED);
        }
    }

    /**
     * Makes the open connections to an engine silent: they carry no further data in either
     * direction.
     */
    void silence(String engine) {
        attempts.values().stream()
                .filter(a -> a.effect.engine().equals(engine) && a.run != null)
                .forEach(a -> a.run.silence());
    }

    /** Closes all connections because the process has ended. */
    void closeAll() {
        for (Attempt a : java.util.List.copyOf(attempts.values())) {
            a.ended = true;
            a.closeConnection();
        }
        attempts.clear();
    }

    void order(Effect.OrderEngine o) {
        FakeEngine e = engine(o.engine());
        boolean[] answered = new boolean[1];
        FakeEngine.OrderCallback done =
                (outcome, fencing) ->
                        simulation
                                .time()
                                .after(
                                        ONE_WAY_LATENCY_NANOS,
                                        () -> answerOrder(o, outcome, fencing, answered));
        simulation
                .time()
                .after(
                        ONE_WAY_LATENCY_NANOS,
                        () -> {
                            if (e == null || !e.isUp()) {
                                done.onAnswer(OrderOutcome.UNKNOWN, 0);
                                return;
                            }
                            switch (o.kind()) {
                                case LOAD -> e.load(o.handle(), o.fencing(), instance.id(), done);
                                case EVICT -> e.evict(o.handle(), o.fencing(), instance.id(), done);
                                default -> e.setRole(instance.id(), o.fencing(), done);
                            }
                        });
        simulation
                .time()
                .after(
                        ORDER_TIMEOUT_NANOS,
                        () -> answerOrder(o, OrderOutcome.UNKNOWN, 0, answered));
    }

    private void answerOrder(
            Effect.OrderEngine o, OrderOutcome outcome, long fencing, boolean[] answered) {
        if (!answered[0]) {
            answered[0] = true;
            instance.deliver(new Input.OrderAnswered(o.orderId(), outcome, fencing));
        }
    }

    void readReport(String engine) {
        FakeEngine e = engine(engine);
        simulation
                .time()
                .after(
                        REPORT_READ_NANOS,
                        () -> {
                            if (e == null || !e.isUp()) {
                                instance.deliver(
                                        new Input.EngineReportFailed(engine, "not reachable"));
                            } else {
                                instance.deliver(new Input.EngineReported(e.report()));
                            }
                        });
    }

    void call(Effect.CallService c) {
        FakeRunner r = simulation.runner(c.upstream());
        Consumer<Input.ServiceAnswer> done = answerOnce(c.callId(), c.deadline().toNanos());
        if (r != null) {
            long delay = drawAndLogRequestDelay(c.upstream());
            simulation.time().after(delay, () -> r.call(c, instance.id(), done));
        }
    }

    void lookup(Effect.LookupAct l) {
        FakeRunner r = simulation.runner(l.upstream());
        Consumer<Input.ServiceAnswer> done = answerOnce(l.callId(), l.deadline().toNanos());
        if (r != null) {
            simulation.time().after(ONE_WAY_LATENCY_NANOS, () -> r.lookup(l, done));
        }
    }

    private Consumer<Input.ServiceAnswer> answerOnce(long callId, long deadlineNanos) {
        boolean[] ended = new boolean[1];
        openCalls++;
        simulation
                .time()
                .after(
                        deadlineNanos,
                        () -> {
                            if (!ended[0]) {
                                ended[0] = true;
                                openCalls--;
                                instance.deliver(
                                        new Input.ServiceFailed(
                                                callId, FailureReason.TIMED_OUT, "no answer"));
                            }
                        });
        return answer ->
                simulation
                        .time()
                        .after(
                                ONE_WAY_LATENCY_NANOS,
                                () -> {
                                    if (!ended[0]) {
                                        ended[0] = true;
                                        openCalls--;
                                        instance.deliver(new Input.ServiceAnswered(callId, answer));
                                    }
                                });
    }
}
