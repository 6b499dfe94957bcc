package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.bronzehill.core.forward.AcceptedOrders.ReportState;
import org.bronzehill.core.forward.AdapterSlot.Phase;
import org.bronzehill.core.time.TimeSource;

/**
 * Adapters that occupy slots of an engine, as known to its claim holder from its own orders and
 * from reports.
 */
final class AdapterInventory {

    /**
     * Largest age of a report that does not tell how many orders it includes. Changes made here
     * within this time take precedence over the report.
     */
    private static final Duration MAX_REPORT_LAG = Duration.ofMillis(1000);

    private final TimeSource time;
    private final Map<AdapterRef, AdapterSlot> slots = new HashMap<>();
    private final Map<AdapterRef, Long> removedAt = new HashMap<>();

    AdapterInventory(TimeSource time) {
        this.time = time;
    }

    /** Returns the slot of an adapter; null if it has none. */
    AdapterSlot get(AdapterRef adapter) {
        return slots.get(adapter);
    }

    Map<AdapterRef, AdapterSlot> slots() {
        return slots;
    }

    int size() {
        return slots.size();
    }

    void put(AdapterRef adapter, AdapterSlot slot) {
        slots.put(adapter, slot);
    }

    void remove(AdapterRef adapter) {
        slots.remove(adapter);
    }

    /** Frees the slot of an adapter that the engine has unloaded. */
    void onUnloaded(AdapterRef adapter) {
        slots.remove(adapter);
        removedAt.put(adapter, time.nanoTime());
    }

    int loadsInProgress() {
        return (int) slots.values().stream().filter(slot -> slot.phase == Phase.LOADING).count();
    }

    /** Returns the least recently used of the adapters that the engine holds and that qualify. */
    Option<AdapterRef> leastRecentlyUsed(Predicate<AdapterRef> qualifies, Duration minAge) {
        AdapterRef found = null;
        long oldest = time.nanoTime() - minAge.toNanos();
        for (Map.Entry<AdapterRef, AdapterSlot> e : slots.entrySet()) {
            AdapterSlot slot = e.getValue();
            if (slot.phase == Phase.RESIDENT
                    && slot.usedAt - oldest <= 0
                    && qualifies.test(e.getKey())) {
                found = e.getKey();
                oldest = slot.usedAt;
            }
        }
        return Option.of(found);
    }

    /** Updates the slots from a report. */
    void apply(InventoryReport report, ReportState state) {
        if (state == ReportState.OUTDATED) {
            return;
        }
        boolean exact = state != ReportState.UNKNOWN;
        report.adapters().forEach((a, v) -> merge(a, v, Phase.RESIDENT, exact));
        report.loading().forEach((a, v) -> merge(a, v, Phase.LOADING, exact));
        slots.entrySet()
                .removeIf(e -> !report.lists(e.getKey()) && isFreeIfUnlisted(e.getValue(), exact));
    }

    private void merge(AdapterRef adapter, int version, Phase phase, boolean exact) {
        AdapterSlot slot = slots.get(adapter);
        if (slot == null) {
            // A report that is older than the removal may list the adapter as loading, too.
            if (exact || !isRecentlyRemoved(adapter)) {
                slot = new AdapterSlot(version, phase, time.nanoTime() - MAX_REPORT_LAG.toNanos());
                slot.counted = true;
                slots.put(adapter, slot);
            }
        } else if (slot.phase != Phase.UNLOADING) {
            slot.counted |= exact;
            if (isOlderThanReports(slot)) {
                slot.version = version;
                slot.phase = phase;
            }
        }
    }

    private boolean isFreeIfUnlisted(AdapterSlot slot, boolean exact) {
        if (slot.phase == Phase.UNLOADING) {
            // Reports do not list an adapter that is unloaded once its requests have ended.
            slot.counted |= exact;
            return false;
        }
        return exact || isOlderThanReports(slot);
    }

    private boolean isRecentlyRemoved(AdapterRef adapter) {
        long now = time.nanoTime();
        removedAt.values().removeIf(at -> now - at > MAX_REPORT_LAG.toNanos());
        return removedAt.containsKey(adapter);
    }

    /** Returns whether the last change of the slot is older than any report received now. */
    private boolean isOlderThanReports(AdapterSlot slot) {
        return time.nanoTime() - slot.changedAt >= MAX_REPORT_LAG.toNanos();
    }
}
