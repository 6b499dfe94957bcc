package org.bronzehill.replay.harness;

import java.util.Set;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.trace.Trace;

/** Replays a trace through decision code on virtual time. */
public final class Replay {

    /** Time before the traffic of generated traces, in which the instances discover each other. */
    public static final long WARM_UP_MS = 5000;

    private Replay() {}

    /** Replays the trace through the decision code of an entry instance. */
    public static RunResult run(Trace trace) {
        return run(trace, DecisionCore.entryCore());
    }

    /** Replays the trace through the decision code of {@code factory}. */
    public static RunResult run(Trace trace, DecisionCore.Factory factory) {
        return run(trace, factory, Set.of());
    }

    /** Replays the trace; logs messages between instances whose kind is in {@code messages}. */
    public static RunResult run(Trace trace, DecisionCore.Factory factory, Set<String> messages) {
        Deployment d = Deployment.named(trace.header().deployment());
        Simulation simulation =
                Simulation.create(d, factory, trace.header().seed()).logMessages(messages);
        simulation.schedule(trace.records());
        simulation.runUntilMs(trace.durationMs());
        return simulation.result();
    }
}
