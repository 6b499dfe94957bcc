package org.bronzehill.replay.random;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.generate.Scenario;
import org.bronzehill.replay.generate.TraceGenerator;
import org.bronzehill.replay.trace.Trace;

/**
 * Draws a small deployment, its traffic and up to five fault scenarios from a seed. A scenario can
 * be drawn more than once.
 */
public final class RandomSchedule {

    private static final int MAX_FAULTS = 5;
    private static final TraceGenerator.Workload WORKLOAD =
            new TraceGenerator.Workload(12, 1.0, 25, 20);

    private RandomSchedule() {}

    /** Returns the trace of a seed. */
    public static Trace of(long seed) {
        return of(seed, List.of());
    }

    /** Returns the trace of a seed with the faults of {@code additional} added. */
    public static Trace of(long seed, List<Scenario> additional) {
        SplittableRandom random = new SplittableRandom(seed);
        String name = random.nextBoolean() ? "driftless-small" : "sialkot-small";
        Scenario[] all = Scenario.values();
        int faults = 1 + random.nextInt(MAX_FAULTS);
        List<Scenario> chosen = new ArrayList<>();
        for (int i = 0; i < faults; i++) {
            chosen.add(all[random.nextInt(all.length)]);
        }
        chosen.addAll(additional);
        return TraceGenerator.generate(Deployment.named(name), WORKLOAD, chosen, seed);
    }
}
