package org.bronzehill.replay.harness;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.node.OrderOutcome;

/** Connections of one instance to engines and application runners. */
final class UpstreamSide {

    private static final long HOP_NANOS = 300_000;
    private static final long REPORT_NANOS = 2 * VirtualTime.MS;
    private static final long ORDER_TIMEOUT_NANOS = 10_000 * VirtualTime.MS;

    /** One attempt at an engine. */
    private final class Attempt implements EngineRun.Events {
        private final Effect.StartAttempt effect;
        private EngineRun run;
        private long lastEvent;
        private int chunks;
        private boolean ended;

        private Attempt(Effect.StartAttempt effect) {
            this.effect = effect;
            this.lastEvent = world.time().now();
        }

        @Override
        public void started() {
            hop(() -> program.deliver(new Input.AttemptStarted(effect.attemptId())));
        }

        @Override
        public void chunk(int sequence, int total) {
            hop(
                    () -> {
                        lastEvent = world.time().now();
                        chunks++;
                        program.relay(effect, sequence, total);
                    });
        }

        @Override
        public void complete(int total) {
            hop(
                    () -> {
                        forget();
                        program.deliver(
                                new Input.AttemptFinished(
                                        effect.attemptId(), chunks, run.tokens()));
                    });
        }

        @Override
        public void failed(FailureReason reason) {
            hop(() -> end(reason));
        }

        /** Runs an event of the connection at the program, unless the attempt has ended there. */
        private void hop(Runnable body) {
            world.time()
                    .after(
                            HOP_NANOS,
                            () ->
                                    program.run(
                                            () -> {
                                                if (!ended) {
                                                    body.run();
                                                }
                                            }));
        }

        private void end(FailureReason reason) {
            forget();
            program.deliver(
                    new Input.AttemptFailed(effect.attemptId(), reason, chunks, reason.name()));
        }

        private void forget() {
            ended = true;
            if (run != null) {
                run.unwanted();
            }
            attempts.remove(effect.attemptId());
        }

        private void watchSilence() {
            long limit = effect.limits().idleTimeout().toNanos();
            world.time()
                    .after(
                            Math.max(VirtualTime.MS, lastEvent + limit - world.time().now()),
                            () -> program.run(this::checkSilence));
        }

        private void checkSilence() {
            if (ended) {
                return;
            }
            if (world.time().now() - lastEvent >= effect.limits().idleTimeout().toNanos()) {
                abort(FailureReason.SILENT);
            } else {
                watchSilence();
            }
        }

        private void abort(FailureReason reason) {
            if (!ended) {
                closeConnection();
                end(reason);
            }
        }

        /** A close does not reach the engine through a silent connection. */
        private void closeConnection() {
            if (run != null) {
                run.unwanted();
                if (!run.isSilent()) {
                    run.silence();
                    EngineRun r = run;
                    world.time().after(HOP_NANOS, () -> engine(effect.engine()).cancel(r));
                }
            }
        }
    }

    private final EntryProgram program;
    private final Simulation world;
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private int calls;

    UpstreamSide(EntryProgram program, Simulation world) {
        this.program = program;
        this.world = world;
    }

    private FakeEngine engine(String id) {
        return world.engine(id);
    }

    private long delayTo(String upstream) {
        long extra = world.delays().extraNanos();
        long sent = world.time().now();
        if (extra > 0) {
            world.time()
                    .after(
                            HOP_NANOS + extra,
                            () ->
                                    world.log()
                                            .add(
                                                    new LogEvent.DelayedDelivery(
                                                            world.time().now(), upstream, sent)));
        }
        return HOP_NANOS + extra;
    }

    int callsInFlight() {
        return calls;
    }

    int attemptsInFlight() {
        return attempts.size();
    }

    void start(Effect.StartAttempt effect) {
        Attempt a = new Attempt(effect);
        attempts.put(effect.attemptId(), a);
        FakeEngine e = engine(effect.engine());
        world.time()
                .after(
                        delayTo(effect.engine()),
                        () -> {
                            if (a.ended) {
                                return;
                            }
                            if (e == null || !e.isUp()) {
                                a.failed(FailureReason.NOT_SENT);
                                return;
                            }
                            a.run = new EngineRun(work(effect), program.id(), a);
                            e.submit(a.run);
                        });
        a.watchSilence();
        world.time()
                .after(
                        effect.limits().deadline().toNanos(),
                        () -> program.run(() -> a.abort(FailureReason.TIMED_OUT)));
    }

    private EngineRun.Work work(Effect.StartAttempt effect) {
        Simulation.Content content = world.content(effect.requestId());
        return new EngineRun.Work(
                effect.requestId(),
                effect.attempt(),
                effect.handle(),
                effect.limits().priority(),
                content.tokens(),
                content.crashes());
    }

    void cancel(long attemptId) {
        Attempt a = attempts.get(attemptId);
        if (a != null) {
            a.abort(FailureReason.CANCELLED);
        }
    }

    /** Makes the open connections to the engine silent. */
    void silence(String engine) {
        attempts.values().stream()
                .filter(a -> a.effect.engine().equals(engine) && a.run != null)
                .forEach(a -> a.run.silence());
    }

    /** Closes all connections because the process has ended. */
    void killed() {
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
                        world.time()
                                .after(HOP_NANOS, () -> answerOrder(o, outcome, fencing, answered));
        world.time()
                .after(
                        HOP_NANOS,
                        () -> {
                            if (e == null || !e.isUp()) {
                                done.answered(OrderOutcome.UNKNOWN, 0);
                                return;
                            }
                            switch (o.kind()) {
                                case LOAD -> e.load(o.handle(), o.fencing(), program.id(), done);
                                case EVICT -> e.evict(o.handle(), o.fencing(), program.id(), done);
                                default -> e.setRole(program.id(), o.fencing(), done);
                            }
                        });
        world.time()
                .after(
                        ORDER_TIMEOUT_NANOS,
                        () -> answerOrder(o, OrderOutcome.UNKNOWN, 0, answered));
    }

    private void answerOrder(
            Effect.OrderEngine o, OrderOutcome outcome, long fencing, boolean[] answered) {
        if (!answered[0]) {
            answered[0] = true;
            program.deliver(new Input.OrderAnswered(o.orderId(), outcome, fencing));
        }
    }

    void readReport(String engine) {
        FakeEngine e = engine(engine);
        world.time()
                .after(
                        REPORT_NANOS,
                        () -> {
                            if (e == null || !e.isUp()) {
                                program.deliver(
                                        new Input.EngineReportFailed(engine, "not reachable"));
                            } else {
                                program.deliver(new Input.EngineReported(e.report()));
                            }
                        });
    }

    void call(Effect.CallService c) {
        FakeRunner r = world.runner(c.upstream());
        Consumer<Input.ServiceAnswer> done = once(c.callId(), c.deadline().toNanos());
        if (r != null) {
            long delay = delayTo(c.upstream());
            world.time().after(delay, () -> r.call(c, program.id(), done));
        }
    }

    void lookup(Effect.LookupAct l) {
        FakeRunner r = world.runner(l.upstream());
        Consumer<Input.ServiceAnswer> done = once(l.callId(), l.deadline().toNanos());
        if (r != null) {
            world.time().after(HOP_NANOS, () -> r.lookup(l, done));
        }
    }

    private Consumer<Input.ServiceAnswer> once(long callId, long deadlineNanos) {
        boolean[] ended = new boolean[1];
        calls++;
        world.time()
                .after(
                        deadlineNanos,
                        () -> {
                            if (!ended[0]) {
                                ended[0] = true;
                                calls--;
                                program.deliver(
                                        new Input.ServiceFailed(
                                                callId, FailureReason.TIMED_OUT, "no answer"));
                            }
                        });
        return answer ->
                world.time()
                        .after(
                                HOP_NANOS,
                                () -> {
                                    if (!ended[0]) {
                                        ended[0] = true;
                                        calls--;
                                        program.deliver(new Input.ServiceAnswered(callId, answer));
                                    }
                                });
    }
}
