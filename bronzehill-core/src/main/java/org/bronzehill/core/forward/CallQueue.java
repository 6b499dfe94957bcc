package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.bronzehill.core.time.TimeSource;

/**
 * Calls of one service that wait at this instance because every upstream is full, most urgent
 * first. Among equally urgent ones, those that continue a stream come before those that begin one:
 * only upstreams of one software version can serve them, and all that was sent of the stream is
 * lost if they fail.
 *
 * <p>During a burst above the capacity of the upstreams, a call that would still wait when its time
 * is up is refused on arrival. Callers that cannot be served are thus told at once, and the queue
 * holds only calls that can be served.
 */
final class CallQueue {

    /**
     * Lower bound of the service rate, so that calls are not refused after a start, when few
     * answers have begun. It corresponds to a wait of half a second, a typical target for the first
     * event.
     */
    private static final double MIN_RATE_PER_SECOND = 2;

    private static final Comparator<ForwardCall> ORDER =
            Comparator.<ForwardCall>comparingInt(c -> c.request().route().priority())
                    .thenComparing(c -> !continuesStream(c))
                    .thenComparingLong(ForwardCall::arrivalNumber);

    private final TimeSource time;
    private final ServiceRate serviceRate;
    private final TreeSet<ForwardCall> calls = new TreeSet<>(ORDER);

    CallQueue(TimeSource time) {
        this.time = time;
        this.serviceRate = new ServiceRate(time);
    }

    ServiceRate serviceRate() {
        return serviceRate;
    }

    /** Returns whether the caller has got a part of the stream before. */
    private static boolean continuesStream(ForwardCall call) {
        return call.hasAnswerBegun() || call.request().resumed().isDefined();
    }

    /** Returns the expected wait of a call behind those that are sent before it. */
    Duration expectedWait(ForwardCall call) {
        int ahead = calls.headSet(call, false).size();
        double perSecond = Math.max(serviceRate.perSecond(), MIN_RATE_PER_SECOND);
        return Duration.ofNanos((long) (ahead / perSecond * 1e9));
    }

    /** Returns whether the call would still wait when it may no longer do so. */
    boolean willMissDeadline(ForwardCall call) {
        return time.nanoTime() + expectedWait(call).toNanos() - call.queueDeadlineNanos() > 0;
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    void add(ForwardCall call) {
        calls.add(call);
    }

    void remove(ForwardCall call) {
        calls.remove(call);
    }

    /** Returns the calls in the order in which they are sent. */
    List<ForwardCall> inDispatchOrder() {
        return new ArrayList<>(calls);
    }
}
