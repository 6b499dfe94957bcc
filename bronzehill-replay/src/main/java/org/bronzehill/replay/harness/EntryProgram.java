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
 * The program around one incarnation of a decision core, on virtual time. A paused program keeps
 * its inputs and handles them in order when it wakes up; the next tick comes after them.
 */
final class EntryProgram {

    private static final long TICK_NANOS = 50 * VirtualTime.MS;
    private static final int CHUNK_FIELDS = 2;

    private final Simulation world;
    private final InstanceRef self;
    private final DecisionCore core;
    private final CallerSide callers;
    private final UpstreamSide upstreams;
    private final Deque<Runnable> delayed = new ArrayDeque<>();
    private boolean running = true;
    private boolean paused;
    private boolean ready;
    private boolean draining;
    private long drainingSince;
    private long inForce = -1;

    EntryProgram(Simulation world, InstanceRef self, DecisionCore core) {
        this.world = world;
        this.self = self;
        this.core = core;
        this.callers = new CallerSide(this, world.time(), world.log());
        this.upstreams = new UpstreamSide(this, world);
    }

    /** Returns the part of a request's identifier that names its content; resends share it. */
    static String contentOf(String request) {
        int resend = request.indexOf('~');
        return resend < 0 ? request : request.substring(0, resend);
    }

    void start(long firstTick) {
        process("started");
        world.time().after(firstTick, this::tick);
    }

    private void tick() {
        if (!running) {
            return;
        }
        if (!paused) {
            handle(new Input.Tick());
        }
        world.time().after(TICK_NANOS, this::tick);
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

    CallerSide callers() {
        return callers;
    }

    UpstreamSide upstreams() {
        return upstreams;
    }

    /** Runs code of this process now, or when it wakes up. */
    void run(Runnable body) {
        if (!running) {
            return;
        }
        if (paused) {
            delayed.add(body);
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
        CallerSide.ChunkData data =
                new CallerSide.ChunkData(
                        c.getRequestId(),
                        c.getAttempt(),
                        c.getSequence(),
                        Long.parseLong(parts[0]),
                        parts[1]);
        run(() -> callers.chunk(data));
    }

    /** Sends a chunk of an attempt that runs here to the instance that has the caller. */
    void relay(Effect.StartAttempt attempt, int sequence, int total) {
        String content = contentOf(attempt.requestId());
        if (attempt.origin().equals(id())) {
            callers.chunk(
                    new CallerSide.ChunkData(
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
        world.links().send(this, attempt.origin(), e, false);
    }

    void pause() {
        paused = true;
        process("paused");
    }

    void resume() {
        paused = false;
        process("resumed");
        while (!delayed.isEmpty() && running && !paused) {
            delayed.poll().run();
        }
    }

    void kill() {
        running = false;
        process("killed");
        upstreams.killed();
    }

    void drain() {
        draining = true;
        drainingSince = world.time().now();
        process("draining");
        deliver(new Input.DrainRequested());
    }

    boolean isDraining() {
        return draining;
    }

    /** Ends the process once answers that wait for late chunks have been delivered. */
    private void endWhenDelivered() {
        if (callers.isWaitingForChunks()) {
            world.time().after(TICK_NANOS, () -> run(this::endWhenDelivered));
        } else {
            process("drained");
            world.drained(this);
        }
    }

    void logDrainState(boolean finished) {
        world.log()
                .add(
                        new LogEvent.DrainState(
                                world.time().now(),
                                id(),
                                drainingSince,
                                finished,
                                callers.count(),
                                upstreams.attemptsInFlight(),
                                upstreams.callsInFlight()));
    }

    private void process(String what) {
        world.log()
                .add(
                        new LogEvent.InstanceStateChanged(
                                world.time().now(), id(), self.incarnation(), what));
    }

    void handle(Input input) {
        if (!running) {
            return;
        }
        List<Effect> effects = new ArrayList<>();
        core.handle(input, effects::add);
        long number = core.configurationNumber();
        if (number != inForce) {
            inForce = number;
            world.log()
                    .add(
                            new LogEvent.ConfigurationApplied(
                                    world.time().now(), id(), self.incarnation(), number));
        }
        for (Effect e : effects) {
            if (running) {
                perform(e);
            }
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.SendPeer s) {
            world.links().send(this, s.instance(), s.envelope().build(), s.newConnection());
        } else if (effect instanceof Effect.ReadConfiguration r) {
            world.configurationService().read(r.haveNumber(), r.maxWait(), this::deliver);
        } else if (effect instanceof Effect.ReadInstanceList) {
            world.readInstanceList(this);
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
            // Only fills the headers of the answer, which the harness takes from the answer itself.
            return;
        } else if (effect instanceof Effect.SetReady r) {
            ready = r.ready();
        } else if (effect instanceof Effect.RecordMetric m) {
            world.measured(m);
        } else if (effect instanceof Effect.Drained) {
            logDrainState(true);
            endWhenDelivered();
        } else {
            throw new IllegalStateException("unknown effect " + effect);
        }
    }
}
