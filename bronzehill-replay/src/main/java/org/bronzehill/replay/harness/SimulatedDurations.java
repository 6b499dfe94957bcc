package org.bronzehill.replay.harness;

/** Durations of simulated transfers and runs, from which bounds are computed. */
public final class SimulatedDurations {

    /** Duration of a transfer from the weight store at full speed. */
    public static final long TRANSFER_NANOS = FakeWeightStore.TRANSFER_NANOS;

    private SimulatedDurations() {}

    /** Returns the run time of a request that generates {@code tokens} tokens. */
    public static long runNanos(int tokens) {
        return FakeEngine.FIRST_TOKEN_NANOS + tokens * FakeEngine.DECODING_STEP_NANOS;
    }
}
