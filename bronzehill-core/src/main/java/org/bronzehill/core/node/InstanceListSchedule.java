package org.bronzehill.core.node;

import java.time.Duration;

/** Schedules the periodic reads of the instance list. */
final class InstanceListSchedule {

    /** A read without an answer is repeated after this time. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);

    private final CoreContext context;
    private long nextReadNanos;

    InstanceListSchedule(CoreContext context) {
        this.context = context;
        this.nextReadNanos = context.time().nanoTime();
    }

    void onTick(Effects out) {
        long now = context.time().nanoTime();
        if (now - nextReadNanos >= 0) {
            nextReadNanos = now + READ_TIMEOUT.toNanos();
            out.add(new Effect.ReadInstanceList(context.membership().list().version()));
        }
    }

    void onListRead() {
        nextReadNanos = context.time().nanoTime() + context.settings().listInterval().toNanos();
    }

    /** Schedules a read for the next tick. */
    void readAtNextTick() {
        nextReadNanos = context.time().nanoTime();
    }
}
