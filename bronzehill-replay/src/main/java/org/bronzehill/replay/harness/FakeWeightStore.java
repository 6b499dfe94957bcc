package org.bronzehill.replay.harness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bronzehill.config.Limits;

/**
 * Weight store whose transfers are rate-limited by a token bucket. Loads beyond the rate wait in
 * order. A transfer takes 250 ms at full speed, and proportionally longer when more transfers are
 * in flight or waiting than the limit allows.
 */
public final class FakeWeightStore {

    /** Duration of a transfer at full speed. */
    public static final long TRANSFER_NANOS = 250 * VirtualTime.NANOS_PER_MS;

    private final VirtualTime time;
    private final Limits limits;
    private final RandomGenerator random;
    private final Deque<Consumer<Boolean>> waiting = new ArrayDeque<>();
    private double tokens;
    private long lastRefillNanos;
    private int transferring;
    private boolean wakeUpScheduled;
    private double failingShare;
    private long loads;

    FakeWeightStore(VirtualTime time, Limits limits, RandomGenerator random) {
        this.time = time;
        this.limits = limits;
        this.random = random;
        this.tokens = limits.storeFullSpeed();
    }

    /**
     * Transfers the weights of an adapter; passes to {@code done} whether the transfer succeeded.
     */
    void load(Consumer<Boolean> done) {
        waiting.add(done);
        startNext();
    }

    /** Sets the share of transfers that fail. */
    void setFailingShare(double share) {
        failingShare = share;
    }

    /** Returns the number of started transfers. */
    long loads() {
        return loads;
    }

    private void startNext() {
        refill();
        while (!waiting.isEmpty() && tokens >= 1) {
            tokens -= 1;
            start(waiting.poll());
        }
        if (!waiting.isEmpty() && !wakeUpScheduled) {
            wakeUpScheduled = true;
            double wait = (1 - tokens) / limits.storeLoadsPerSecond();
            time.after((long) (wait * 1e9) + 1, this::wakeUp);
        }
    }

    private void wakeUp() {
        wakeUpScheduled = false;
        startNext();
    }

    private void refill() {
        double gained = (time.now() - lastRefillNanos) / 1e9 * limits.storeLoadsPerSecond();
        tokens = Math.min(limits.storeFullSpeed(), tokens + gained);
        lastRefillNanos = time.now();
    }

    private void start(Consumer<Boolean> done) {
        loads++;
        transferring++;
        double inFlightOrWaiting = transferring + waiting.size();
        double slowdown = Math.max(1, inFlightOrWaiting / limits.storeInFlight());
        boolean fails = random.nextDouble() < failingShare;
        time.after(
                (long) (TRANSFER_NANOS * slowdown),
                () -> {
                    transferring--;
                    done.accept(!fails);
                });
    }
}
