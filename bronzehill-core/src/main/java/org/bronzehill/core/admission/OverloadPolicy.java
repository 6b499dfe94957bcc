package org.bronzehill.core.admission;

import java.time.Duration;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.time.TimeSource;

/**
 * Decides which urgency classes are shed under overload. Classes are shed one at a time, starting
 * with the least urgent one, and admitted again with hysteresis. The most urgent class is never
 * shed.
 *
 * <p>The level, the number of classes that are shed, is changed only by the pressure and the time
 * for which it is high or low. It returns to zero while the pressure stays low, so that shedding
 * cannot outlast the overload that caused it.
 */
public final class OverloadPolicy {

    /**
     * Pressure above which one more class is shed. The caller defines the pressure, for example as
     * the fill of a queue; at 1 the resource that it measures is exhausted.
     */
    private static final double SHED_PRESSURE = 0.8;

    /**
     * Pressure below which a class is admitted again; half of {@link #SHED_PRESSURE} avoids
     * oscillation.
     */
    private static final double READMIT_PRESSURE = 0.4;

    private static final long RAISE_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();
    private static final long LOWER_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_LEVEL = Urgency.values().length - 1;

    private final TimeSource time;
    private int level;
    private long highSinceNanos = -1;
    private long lowSinceNanos = -1;

    private OverloadPolicy(TimeSource time) {
        this.time = time;
    }

    /** Creates a policy that admits every class. */
    public static OverloadPolicy create(TimeSource time) {
        return new OverloadPolicy(time);
    }

    /**
     * Updates the level from the current pressure. It must be called on every tick, also without
     * traffic.
     *
     * @return whether the level has changed
     */
    public boolean update(double pressure) {
        long now = time.nanoTime();
        highSinceNanos =
                pressure > SHED_PRESSURE ? (highSinceNanos < 0 ? now : highSinceNanos) : -1;
        lowSinceNanos =
                pressure < READMIT_PRESSURE ? (lowSinceNanos < 0 ? now : lowSinceNanos) : -1;
        if (highSinceNanos >= 0
                && now - highSinceNanos >= RAISE_INTERVAL_NANOS
                && level < MAX_LEVEL) {
            level++;
            highSinceNanos = now;
            return true;
        }
        if (lowSinceNanos >= 0 && now - lowSinceNanos >= LOWER_INTERVAL_NANOS && level > 0) {
            level--;
            lowSinceNanos = now;
            return true;
        }
        return false;
    }

    /** Returns whether requests of the class are shed now. */
    public boolean sheds(Urgency urgency) {
        return urgency.ordinal() > MAX_LEVEL - level;
    }

    /** Returns the number of classes that are shed. */
    public int level() {
        return level;
    }

    /** Returns how long a caller of a shed class should wait before it sends the request again. */
    public Duration retryAfter() {
        return Duration.ofNanos(LOWER_INTERVAL_NANOS * Math.max(1, level));
    }
}
