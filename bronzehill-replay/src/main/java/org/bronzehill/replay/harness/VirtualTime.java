package org.bronzehill.replay.harness;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.core.time.TimeSource;

/**
 * Event queue on virtual time. Actions scheduled for the same time run in the order in which they
 * were added.
 */
public final class VirtualTime {

    /** Nanoseconds in a millisecond. */
    public static final long NANOS_PER_MS = 1_000_000;

    /** Wall-clock time at the start of every run. */
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private record Action(long at, long sequence, Runnable body) {}

    private final ManualTimeSource clock = ManualTimeSource.startingAt(START);
    private final PriorityQueue<Action> queue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Action::at).thenComparing(Action::sequence));
    private long sequence;
    private long executed;

    /** Returns the virtual time in nanoseconds since the start. */
    public long now() {
        return clock.nanoTime();
    }

    /** Returns a time source whose wall clock is shifted by {@code offset}. */
    public TimeSource clockWithOffset(Duration offset) {
        return new TimeSource() {
            @Override
            public long nanoTime() {
                return clock.nanoTime();
            }

            @Override
            public Instant instant() {
                return clock.instant().plus(offset);
            }
        };
    }

    /** Runs {@code body} after {@code nanos}. */
    public void after(long nanos, Runnable body) {
        at(now() + Math.max(0, nanos), body);
    }

    /**
     * Runs {@code body} at {@code nanos} since the start, or at the current time if that is later.
     */
    public void at(long nanos, Runnable body) {
        queue.add(new Action(Math.max(nanos, now()), sequence++, body));
    }

    /** Runs all actions up to and including the time {@code nanos}. */
    public void runUntil(long nanos) {
        while (!queue.isEmpty() && queue.peek().at() <= nanos) {
            Action a = queue.poll();
            advanceTo(a.at());
            executed++;
            a.body().run();
        }
        advanceTo(nanos);
    }

    /** Returns the number of executed actions. */
    public long executed() {
        return executed;
    }

    private void advanceTo(long nanos) {
        if (nanos > now()) {
            clock.advance(Duration.ofNanos(nanos - now()));
        }
    }
}
