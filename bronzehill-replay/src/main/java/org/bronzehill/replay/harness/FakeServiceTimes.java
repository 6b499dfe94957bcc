package org.bronzehill.replay.harness;

/** Times of the fakes that bounds are computed from. */
public final class FakeServiceTimes {

    /** Time of one transfer from the weight store at full speed. */
    public static final long TRANSFER_NANOS = FakeWeightStore.TRANSFER_NANOS;

    private FakeServiceTimes() {}

    /** Returns the time that an engine needs for a request of {@code tokens} tokens. */
    public static long runNanos(int tokens) {
        return FakeEngine.FIRST_TOKEN_NANOS + tokens * FakeEngine.DECODING_STEP_NANOS;
    }
}
