package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;

/**
 * Measures the batch efficiency of an engine: the fill ratio of its batches, averaged over the time
 * in which requests run.
 */
final class BatchMeter {

    private static final long REPORT_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

    private final String engine;
    private long lastAdvanceNanos;
    private long periodStartNanos;
    private double filledNanos;
    private long busyNanos;

    BatchMeter(String engine, long nowNanos) {
        this.engine = engine;
        this.lastAdvanceNanos = nowNanos;
        this.periodStartNanos = nowNanos;
    }

    /** Adds the time since the last call, in which {@code running} requests ran. */
    void advance(int running, int batch, long nowNanos) {
        long step = nowNanos - lastAdvanceNanos;
        lastAdvanceNanos = nowNanos;
        if (running > 0 && batch > 0) {
            busyNanos += step;
            filledNanos += step * Math.min(1.0, (double) running / batch);
        }
    }

    /**
     * Reports the queue length once per second, and with it the batch efficiency of the past period
     * unless no request ran in it.
     */
    void report(int queued, long nowNanos, Effects out) {
        if (nowNanos - periodStartNanos < REPORT_PERIOD_NANOS) {
            return;
        }
        out.add(new Effect.RecordMetric(CoreMetric.QUEUE_LENGTH, engine, queued));
        if (busyNanos > 0) {
            out.add(
                    new Effect.RecordMetric(
                            CoreMetric.BATCH_EFFICIENCY_RATIO, engine, filledNanos / busyNanos));
        }
        periodStartNanos = nowNanos;
        busyNanos = 0;
        filledNanos = 0;
    }
}
