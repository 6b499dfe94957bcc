package org.bronzehill.core.engine;

/** Decides whether a handle may be evicted. */
@FunctionalInterface
interface EvictionRule {

    /**
     * Rule that never cuts off a running request: it allows only resident handles without requests,
     * and handles of earlier epochs only once no request of an earlier holder can still run on
     * them.
     */
    EvictionRule SAFE =
            (h, longestDeadlinePassed) ->
                    h.status() == AdapterHandle.Status.RESIDENT
                            && h.uses() == 0
                            && !h.attemptMayStillRun
                            && (h.createdUnderThisLease()
                                    || h.earlierRequestsEnded
                                    || longestDeadlinePassed);

    /**
     * Returns whether the handle may be evicted.
     *
     * @param longestDeadlinePassed whether the longest deadline has passed since the takeover, so
     *     that every request of an earlier holder has ended
     */
    boolean mayEvict(AdapterHandle handle, boolean longestDeadlinePassed);

    /** Returns whether the evict order may be sent, once its intent is recorded. */
    default boolean mayOrder(AdapterHandle handle) {
        return handle.uses() == 0;
    }
}
