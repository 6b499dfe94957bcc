package org.bronzehill.core.node;

import java.time.Duration;

/** Reads the instance list at its interval. */
final class PlatformSchedule {

    /** A read that was not answered in this time is repeated. */
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(3);

    private final CoreContext context;
    private long nextListNanos;

    PlatformSchedule(CoreContext context) {
        this.context = context;
        this.nextListNanos = context.time().nanoTime();
    }

    void onTick(Effects out) {
        long now = context.time().nanoTime();
        if (now - nextListNanos >= 0) {
            nextListNanos = now + LIST_TIMEOUT.toNanos();
            out.add(new Effect.ReadInstanceList(context.membership().list().version()));
        }
    }

    void onList() {
        nextListNanos = context.time().nanoTime() + context.settings().listInterval().toNanos();
    }

    /** Reads the instance list at the next tick. */
    void recheck() {
        nextListNanos = context.time().nanoTime();
    }
}
