package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;

/** Measures the fill ratio of an engine's batches, averaged over the time in which requests run. */
final class BatchMeter {

    private static final long PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

    private final String engine;
    private long lastNanos;
    private long periodNanos;
    private double filledNanos;
    private long busyNanos;

    BatchMeter(String engine, long nowNanos) {
        this.engine = engine;
        this.lastNanos = nowNanos;
        this.periodNanos = nowNanos;
    }

    /** Adds the time since the last call, in which {@code running} requests ran. */
    void advance(int running, int batch, long nowNanos) {
        long step = nowNanos - lastNanos;
        lastNanos = nowNanos;
        if (running > 0 && batch > 0) {
            busyNanos += step;
            filledNanos += step * Math.min(1.0, (double) running / batch);
        }
    }

    /**
     * Reports, once per second, the queue length and the batch efficiency of the past period if
     * requests ran in it.
     */
    void report(int queued, long nowNanos, Effects out) {
        if (nowNanos - periodNanos < PERIOD_NANOS) {
            return;
        }
        out.add(new Effect.RecordMetric(CoreMetric.QUEUE_LENGTH, engine, queued));
        if (busyNanos > 0) {
            out.add(
                    new Effect.RecordMetric(
                            CoreMetric.BATCH_EFFICIENCY_RATIO, engine, filledNanos / busyNanos));
        }
        periodNanos = nowNanos;
        busyNanos = 0;
        filledNanos = 0;
    }
}
