package org.bronzehill.replay.harness;

import java.util.Set;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.trace.Trace;

/** Runs a trace through decision code on virtual time. */
public final class Replay {

    /** Time before the first record, in which the instances find each other. */
    public static final long WARM_UP_MS = 5000;

    private Replay() {}

    /** Runs the trace through the real decision code. */
    public static RunResult run(Trace trace) {
        return run(trace, DecisionCore.entryCore());
    }

    /** Runs the trace through the decision code of {@code factory}. */
    public static RunResult run(Trace trace, DecisionCore.Factory factory) {
        return run(trace, factory, Set.of());
    }

    /** Runs the trace and logs the messages between instances whose kind is in {@code messages}. */
    public static RunResult run(Trace trace, DecisionCore.Factory factory, Set<String> messages) {
        Deployment d = Deployment.named(trace.header().deployment());
        Simulation world =
                Simulation.create(d, factory, trace.header().seed()).logMessages(messages);
        world.schedule(trace.records());
        world.runUntilMs(trace.durationMs());
        return world.result();
    }
}
