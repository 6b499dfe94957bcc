package org.bronzehill.core.forward;

import org.bronzehill.protocol.generated.RelayState;

/**
 * What another instance has stated about the requests that it serves for isolated instances.
 *
 * @param incarnation incarnation of the process that has stated it
 * @param version grows with each change
 * @param isolated whether that instance reaches no upstream
 * @param stopping whether it is in its planned stop; the next three times are valid only then
 * @param acceptsAnyUntil monotonic time until which it accepts requests whatever their deadline
 * @param acceptsUntil monotonic time until which it accepts requests that end before it does
 * @param endsAt monotonic time at which it ends the requests that are open
 * @param validUntil monotonic time at which the statement expires
 */
record RelayStatement(
        long incarnation,
        long version,
        boolean isolated,
        boolean stopping,
        long acceptsAnyUntil,
        long acceptsUntil,
        long endsAt,
        long validUntil) {

    /** Longest time that is taken from a message, in ms. */
    private static final int MAX_MS = 600_000;

    private static final long NANOS_PER_MS = 1_000_000;

    /**
     * @param now monotonic time at which the message has arrived
     */
    static RelayStatement of(long incarnation, RelayState message, long now) {
        return new RelayStatement(
                incarnation,
                message.getVersion(),
                message.getIsolated(),
                message.getStopping(),
                after(now, message.getAcceptsAnyMs()),
                after(now, message.getAcceptsMs()),
                after(now, message.getEndsMs()),
                after(now, message.getValidMs()));
    }

    private static long after(long now, int ms) {
        return now + Math.max(0, Math.min(MAX_MS, ms)) * NANOS_PER_MS;
    }

    boolean isValid(long now) {
        return now - validUntil < 0;
    }

    /**
     * Returns whether the stopping instance accepts a request.
     *
     * @param deadlineNanos deadline of the request there
     * @param arrivalNanos monotonic time at which the request arrives there
     */
    boolean accepts(long deadlineNanos, long arrivalNanos) {
        boolean endsBefore = deadlineNanos - endsAt <= 0;
        return arrivalNanos - acceptsAnyUntil < 0
                || (arrivalNanos - acceptsUntil < 0 && endsBefore);
    }
}
