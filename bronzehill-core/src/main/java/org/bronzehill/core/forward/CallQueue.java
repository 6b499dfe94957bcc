package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.bronzehill.core.time.TimeSource;

/**
 * Calls of one service that wait at this instance because every upstream is full, most urgent
 * first.
 *
 * <p>Answers a burst above the capacity of the upstreams: a call that would still wait when its
 * time is up is refused on arrival, so the callers that cannot be served learn it at once and the
 * queue holds only work that can be finished.
 */
final class CallQueue {

    /**
     * Wait assumed for a call when nothing has ended yet, as after a start: half a second, a
     * typical target for the first event.
     */
    private static final double MIN_RATE_PER_SECOND = 2;

    private static final Comparator<ForwardCall> ORDER =
            Comparator.<ForwardCall>comparingInt(c -> c.request().route().priority())
                    .thenComparingLong(ForwardCall::order);

    private final TimeSource time;
    private final CompletionRate completionRate;
    private final TreeSet<ForwardCall> calls = new TreeSet<>(ORDER);

    CallQueue(TimeSource time) {
        this.time = time;
        this.completionRate = new CompletionRate(time);
    }

    CompletionRate completionRate() {
        return completionRate;
    }

    /** Returns how long a call would wait behind those that go before it. */
    Duration expectedWait(ForwardCall call) {
        int ahead = calls.headSet(call, false).size();
        double perSecond = Math.max(completionRate.perSecond(), MIN_RATE_PER_SECOND);
        return Duration.ofNanos((long) ((ahead + 1) / perSecond * 1e9));
    }

    /**
     * Returns whether the call would still wait at the last moment at which it is worth sending.
     */
    boolean willMissDeadline(ForwardCall call) {
        return time.nanoTime() + expectedWait(call).toNanos() - call.sendDeadlineNanos() > 0;
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

    /** Returns the calls in the order in which they are to be sent. */
    List<ForwardCall> inDispatchOrder() {
        return new ArrayList<>(calls);
    }
}
