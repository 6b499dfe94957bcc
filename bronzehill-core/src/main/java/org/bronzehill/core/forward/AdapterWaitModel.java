package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Predicts how long a request waits for an adapter that an engine does not hold: first for an
 * adapter slot, then for the load. The parameters are learned from completed waits and requests.
 */
final class AdapterWaitModel {

    /** Weight of one measurement in the moving averages. */
    private static final double AVERAGE_WEIGHT = 0.2;

    /** Time for which a request is assumed to use an adapter until one has ended. */
    private static final Duration INITIAL_USE_TIME = Duration.ofMillis(600);

    private double loadMs;
    private double reloadMs;
    private double useMs = INITIAL_USE_TIME.toMillis();
    private double firstEventMs;

    /**
     * @param initialLoadTime load time assumed until a load has been measured
     */
    AdapterWaitModel(Duration initialLoadTime) {
        this.loadMs = initialLoadTime.toMillis();
        this.reloadMs = loadMs * AdapterLoadTime.RELOAD_FRACTION;
    }

    /**
     * Updates the load time from a wait for which a slot was idle at its start.
     *
     * @param reload whether the engine had held the adapter recently
     */
    void onLoadWaited(Duration took, boolean reload) {
        if (reload) {
            reloadMs = average(reloadMs, took);
        } else {
            loadMs = average(loadMs, took);
        }
    }

    /** Updates the time for which a request uses its adapter. */
    void onUseEnded(Duration took) {
        useMs = average(useMs, took);
    }

    /** Updates the time from sending a request that uses an adapter to its first event. */
    void onFirstEvent(Duration took) {
        firstEventMs = average(firstEventMs, took);
    }

    /** Returns the expected time from sending a request that uses an adapter to its first event. */
    Duration expectedFirstEventTime() {
        return Duration.ofNanos((long) (firstEventMs * 1e6));
    }

    private static double average(double current, Duration measured) {
        return current * (1 - AVERAGE_WEIGHT) + measured.toNanos() / 1e6 * AVERAGE_WEIGHT;
    }

    /**
     * Returns the expected time in ms until the adapter is loaded at an engine that holds the base
     * model, but not the adapter.
     *
     * @param slots number of adapter slots of the engine
     */
    double expectedWaitMs(UpstreamState u, AdapterRef adapter, int slots) {
        double slotWait = expectedSlotWaitMs(u, slots);
        if (u.isLoadingOrAwaited(adapter)) {
            // On average, half of the load is over. It may also still wait for a slot.
            return (slotWait + loadMs) / 2;
        }
        if (u.heldRecently(adapter)) {
            return slotWait + reloadMs;
        }
        // The average already includes a typical number of concurrent loads, so each load in
        // progress adds only a part of its time.
        double concurrent = (double) u.loadingCount() / (2 * AdapterLoader.MAX_PARALLEL_LOADS);
        return slotWait + loadMs * (1 + concurrent);
    }

    /**
     * Returns how much longer the loads that wait for a slot at the engine would wait in total if
     * another adapter took a slot there.
     *
     * @param slots number of adapter slots of the engine
     */
    double delayToOthersMs(UpstreamState u, AdapterRef adapter, int slots) {
        double occupied = useMs + (u.heldRecently(adapter) ? reloadMs : loadMs);
        return u.idleSlots().waitingLoads() * occupied / Math.max(1, slots);
    }

    /** Returns the expected time until the slots have been given to the loads that wait for one. */
    private double expectedSlotWaitMs(UpstreamState u, int slots) {
        int idle = u.idleSlots().count();
        return idle > 0 ? 0 : (1 - idle) * useMs / Math.max(1, slots);
    }
}
