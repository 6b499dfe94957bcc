package org.bronzehill.replay.harness;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Input;
import org.bronzehill.protocol.generated.DispatchChunk;
import org.bronzehill.protocol.generated.Envelope;

/**
 * One incarnation of an entry instance on virtual time: delivers inputs to its decision core and
 * carries out the effects. A paused instance queues its inputs and handles them in order when it
 * resumes; the next tick follows after them.
 */
final class EntryInstance {

    private static final long TICK_NANOS = 50 * VirtualTime.NANOS_PER_MS;
    private static final int CHUNK_FIELDS = 2;

    private final Simulation simulation;
    private final InstanceRef self;
    private final DecisionCore core;
    private final CallerConnections callers;
    private final UpstreamConnections upstreams;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private boolean running = true;
    private boolean paused;
    private boolean ready;
    private boolean draining;
    private long drainingSince;
    private long appliedConfigurationNumber = -1;

    EntryInstance(Simulation simulation, InstanceRef self, DecisionCore core) {
        this.simulation = simulation;
        this.self = self;
        this.core = core;
        this.callers = new CallerConnections(this, simulation.time(), simulation.log());
        this.upstreams = new UpstreamConnections(this, simulation);
    }

    /**
     * Returns the request identifier without the suffix of a resend. It serves as the content of
     * the request, so that a resend has the same content as the original.
     */
    static String contentOf(String request) {
        int resend = request.indexOf('~');
        return resend < 0 ? request : request.substring(0, resend);
    }

    void start(long firstTickNanos) {
        logState("started");
        simulation.time().after(firstTickNanos, this::tick);
    }

    private void tick() {
        if (!running) {
            return;
        }
        if (!paused) {
            handle(new Input.Tick());
        }
        simulation.time().after(TICK_NANOS, this::tick);
    }

    String id() {
        return self.id();
    }

    String dataCentre() {
        return self.dataCentre();
    }

    InstanceRef self() {
        return self;
    }

    DecisionCore core() {
        return core;
    }

    boolean isRunning() {
        return running;
    }

    boolean isReady() {
        return running && !paused && ready;
    }

    CallerConnections callers() {
        return callers;
    }

    UpstreamConnections upstreams() {
        return upstreams;
    }

    /** Runs an action of this process now, or when the process resumes if it is paused. */
    void run(Runnable body) {
        if (!running) {
            return;
        }
        if (paused) {
            deferred.add(body);
        } else {
            body.run();
        }
    }

    void deliver(Input input) {
        run(() -> handle(input));
    }

    void receive(Envelope envelope) {
        if (envelope.getBodyCase() != Envelope.BodyCase.DISPATCH_CHUNK) {
            deliver(new Input.PeerReceived(envelope));
            return;
        }
        DispatchChunk c = envelope.getDispatchChunk();
        String[] parts = c.getData().toStringUtf8().split(" ", CHUNK_FIELDS);
        CallerConnections.ChunkData data =
                new CallerConnections.ChunkData(
                        c.getRequestId(),
                        c.getAttempt(),
                        c.getSequence(),
                        Long.parseLong(parts[0]),
                        parts[1]);
        run(() -> callers.onChunk(data));
    }

    /**
     * Forwards a chunk of an attempt that this instance runs to the instance that serves the
     * caller.
     */
    void relay(Effect.StartAttempt attempt, int sequence, int total) {
        String content = contentOf(attempt.requestId());
        if (attempt.origin().equals(id())) {
            callers.onChunk(
                    new CallerConnections.ChunkData(
                            attempt.requestId(), attempt.attempt(), sequence, total, content));
            return;
        }
        Envelope e =
                Envelope.newBuilder()
                        .setFrom(id())
                        .setFromIncarnation(self.incarnation())
                        .setTo(attempt.origin())
                        .setDispatchChunk(
                                DispatchChunk.newBuilder()
                                        .setRequestId(attempt.requestId())
                                        .setAttempt(attempt.attempt())
                                        .setSequence(sequence)
                                        .setData(ByteString.copyFromUtf8(total + " " + content)))
                        .build();
        simulation.links().send(this, attempt.origin(), e, false);
    }

    void pause() {
        paused = true;
        logState("paused");
    }

    void resume() {
        paused = false;
        logState("resumed");
        while (!deferred.isEmpty() && running && !paused) {
            deferred.poll().run();
        }
    }

    void kill() {
        running = false;
        logState("killed");
        upstreams.closeAll();
    }

    void drain() {
        draining = true;
        drainingSince = simulation.time().now();
        logState("draining");
        deliver(new Input.DrainRequested());
    }

    boolean isDraining() {
        return draining;
    }

    /** Ends the process once no answered request still waits for late chunks. */
    private void endWhenDelivered() {
        if (callers.isWaitingForChunks()) {
            simulation.time().after(TICK_NANOS, () -> run(this::endWhenDelivered));
        } else {
            logState("drained");
            simulation.onDrained(this);
        }
    }

    void logDrainState(boolean finished) {
        simulation
                .log()
                .add(
                        new LogEvent.DrainState(
                                simulation.time().now(),
                                id(),
                                drainingSince,
                                finished,
                                callers.unansweredCount(),
                                upstreams.attemptsInFlight(),
                                upstreams.callsInFlight()));
    }

    private void logState(String state) {
        simulation
                .log()
                .add(
                        new LogEvent.InstanceStateChanged(
                                simulation.time().now(), id(), self.incarnation(), state));
    }

    void handle(Input input) {
        if (!running) {
            return;
        }
        List<Effect> effects = new ArrayList<>();
        core.handle(input, effects::add);
        long number = core.configurationNumber();
        if (number != appliedConfigurationNumber) {
            appliedConfigurationNumber = number;
            simulation
                    .log()
                    .add(
                            new LogEvent.ConfigurationApplied(
                                    simulation.time().now(), id(), self.incarnation(), number));
        }
        for (Effect e : effects) {
            if (running) {
                perform(e);
            }
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.SendPeer s) {
            simulation.links().send(this, s.instance(), s.envelope().build(), s.newConnection());
        } else if (effect instanceof Effect.ReadConfiguration r) {
            simulation.configurationService().read(r.haveNumber(), r.maxWait(), this::deliver);
        } else if (effect instanceof Effect.ReadInstanceList) {
            simulation.readInstanceList(this);
        } else if (effect instanceof Effect.ReadEngineReport r) {
            upstreams.readReport(r.engine());
        } else if (effect instanceof Effect.OrderEngine o) {
            upstreams.order(o);
        } else if (effect instanceof Effect.StartAttempt a) {
            upstreams.start(a);
        } else if (effect instanceof Effect.CancelAttempt c) {
            upstreams.cancel(c.attemptId());
        } else if (effect instanceof Effect.CallService c) {
            upstreams.call(c);
        } else if (effect instanceof Effect.LookupAct l) {
            upstreams.lookup(l);
        } else {
            performLocally(effect);
        }
    }

    private void performLocally(Effect effect) {
        if (effect instanceof Effect.Answer a) {
            callers.answer(a);
        } else if (effect instanceof Effect.AbandonAttempt a) {
            callers.abandon(a);
        } else if (effect instanceof Effect.ReadCacheEvents) {
            // The engines of the harness have no prefix cache and publish no events.
            return;
        } else if (effect instanceof Effect.DescribeAttempt) {
            // The effect only sets response headers. The harness reads their values from the
            // answer.
            return;
        } else if (effect instanceof Effect.SetReady r) {
            ready = r.ready();
        } else if (effect instanceof Effect.RecordMetric m) {
            simulation.recordMetric(m);
        } else if (effect instanceof Effect.Drained) {
            logDrainState(true);
            endWhenDelivered();
        } else {
            throw new IllegalStateException("unknown effect: " + effect);
        }
    }
}
