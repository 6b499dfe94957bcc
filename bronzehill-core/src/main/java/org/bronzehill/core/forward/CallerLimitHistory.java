package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Limits in force, and earlier ones that still apply to what callers began under them.
 *
 * <p>Callers act by the limits that they know. If a lower limit applied to a period of idleness
 * that is under way, a connection would be closed as its caller reuses it.
 */
public final class CallerLimitHistory {

    /**
     * Time after a change during which callers may still begin something under the earlier limits.
     * Changes must be in force within 4 s at most, depending on the deployment; a margin is added
     * for callers that learn of it late.
     */
    static final Duration NOTICE_TIME = Duration.ofSeconds(5);

    /** Earlier limits that are kept apart; with more changes, the oldest ones are merged. */
    private static final int MAX_EARLIER = 8;

    private record Replaced(CallerLimits limits, long atNanos) {}

    /** Earlier limits, newest first. */
    private final Deque<Replaced> earlier = new ArrayDeque<>();

    private CallerLimits current = CallerLimits.INITIAL;
    private boolean known;

    /**
     * @param nowNanos monotonic time
     */
    void onChange(CallerLimits limits, long nowNanos) {
        // No caller knows the limits that apply before the first configuration.
        if (known && !limits.equals(current)) {
            earlier.addFirst(new Replaced(current, nowNanos));
            if (earlier.size() > MAX_EARLIER) {
                Replaced oldest = earlier.removeLast();
                Replaced next = earlier.removeLast();
                earlier.addLast(new Replaced(next.limits().max(oldest.limits()), next.atNanos()));
            }
        }
        current = limits;
        known = true;
    }

    /**
     * Returns the limits for a period that is under way: the largest ones that a caller may have
     * known at its beginning or since then.
     *
     * @param beginNanos monotonic time at which the period began
     */
    public CallerLimits since(long beginNanos) {
        CallerLimits largest = current;
        Iterator<Replaced> newestFirst = earlier.iterator();
        while (newestFirst.hasNext()) {
            Replaced r = newestFirst.next();
            if (r.atNanos() + NOTICE_TIME.toNanos() - beginNanos < 0) {
                break;
            }
            largest = largest.max(r.limits());
        }
        return largest;
    }
}
