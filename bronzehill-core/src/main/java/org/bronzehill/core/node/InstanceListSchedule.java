package org.bronzehill.core.node;

import java.time.Duration;

/** Reads the instance list at its interval. */
final class InstanceListSchedule {

    /** A read that was not answered in this time is repeated. */
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

    /** Reads the instance list at the next tick. */
    void readAtNextTick() {
        nextReadNanos = context.time().nanoTime();
    }
}
