package org.bronzehill.core.engine;

/** Condition under which a handle may be evicted. */
@FunctionalInterface
interface EvictionRule {

    /**
     * The rule that keeps every answer whole: only resident handles on which nothing runs, and
     * handles of earlier epochs only once no request of an earlier holder can run on them.
     */
    EvictionRule SAFE =
            (h, earlierHoldersEnded) ->
                    h.status() == AdapterHandle.Status.RESIDENT
                            && h.uses() == 0
                            && !h.mayStillRun
                            && (h.ownEpoch() || h.earlierRequestsEnded || earlierHoldersEnded);

    /**
     * Returns whether the handle may be evicted.
     *
     * @param earlierHoldersEnded whether the longest deadline has passed since the takeover
     */
    boolean mayEvict(AdapterHandle handle, boolean earlierHoldersEnded);

    /** Returns whether the order may be sent, once its intent is recorded. */
    default boolean mayOrder(AdapterHandle handle) {
        return handle.uses() == 0;
    }
}
