package org.bronzehill.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.bronzehill.core.time.ManualTimeSource;

/** Scheduler on virtual time, which advances only in {@link #advance}. */
final class VirtualScheduler implements Scheduler {

    private final ManualTimeSource time =
            ManualTimeSource.startingAt(Instant.parse("2026-12-04T06:00:00Z"));
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::due).thenComparingLong(Task::order));
    private long order;

    private record Task(long due, long order, Runnable action, boolean[] cancelled) {}

    ManualTimeSource time() {
        return time;
    }

    @Override
    public Timer after(Duration delay, Runnable action) {
        boolean[] cancelled = new boolean[1];
        tasks.add(new Task(time.nanoTime() + delay.toNanos(), order++, action, cancelled));
        return () -> cancelled[0] = true;
    }

    /** Advances the time and runs the tasks that become due. */
    void advance(Duration step) {
        long end = time.nanoTime() + step.toNanos();
        while (!tasks.isEmpty() && tasks.peek().due() - end <= 0) {
            Task next = tasks.poll();
            if (next.due() - time.nanoTime() > 0) {
                time.advance(Duration.ofNanos(next.due() - time.nanoTime()));
            }
            if (!next.cancelled()[0]) {
                next.action().run();
            }
        }
        time.advance(Duration.ofNanos(end - time.nanoTime()));
    }
}
