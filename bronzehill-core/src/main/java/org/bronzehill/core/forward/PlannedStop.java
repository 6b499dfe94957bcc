package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Times of a planned stop of this instance. Callers learn of the stop late, so requests that arrive
 * early in it are served like any others. Of those that arrive late, or still wait late, only the
 * ones that end before the process does are sent to upstreams. Those that arrive in the last part
 * are refused, so that callers that keep sending requests cannot delay the exit.
 */
final class PlannedStop {

    /** No stop is planned. */
    static final PlannedStop NONE = new PlannedStop(0, 0);

    private final long lastArrivalNanos;
    private final long endNanos;

    private PlannedStop(long lastArrivalNanos, long endNanos) {
        this.lastArrivalNanos = lastArrivalNanos;
        this.endNanos = endNanos;
    }

    /**
     * @param now monotonic time in ns
     * @param untilLastArrival time from which on arriving requests that may outlast the process are
     *     refused
     * @param untilEnd time at which the process ends all requests
     */
    static PlannedStop at(long now, Duration untilLastArrival, Duration untilEnd) {
        return new PlannedStop(now + untilLastArrival.toNanos(), now + untilEnd.toNanos());
    }

    /**
     * Returns the time until which earlier requests may wait before they are sent: half of the time
     * between the last arrival and the end is left for them to run.
     */
    long lastSendNanos() {
        return lastArrivalNanos + (endNanos - lastArrivalNanos) / 2;
    }

    /** Returns the time until which requests that arrive are served whatever their deadline. */
    long lastArrivalNanos() {
        return lastArrivalNanos;
    }

    /** Returns the time at which the process ends all requests. */
    long endNanos() {
        return endNanos;
    }

    /**
     * Returns whether a request may not be sent any more: it may outlast the process, or it has
     * arrived so late that its caller would prolong the stop.
     *
     * @param openedAt monotonic time at which the request had arrived completely
     */
    boolean excludes(ForwardRequest request, long openedAt, long now) {
        if (this == NONE) {
            return false;
        }
        boolean late = openedAt - lastArrivalNanos >= 0 || now - lastSendNanos() >= 0;
        boolean mayOutlast = request.deadlineNanos() - endNanos > 0;
        return openedAt - lastSendNanos() >= 0 || (late && mayOutlast);
    }
}
