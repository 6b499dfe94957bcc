package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.Map;
import java.util.Set;

/**
 * Report of an engine on the models and adapters that it holds; some hundred milliseconds old.
 *
 * @param startedAtMs start of its incarnation, Unix time in ms; 0 if the report does not state it
 * @param models base models that it holds
 * @param adapters adapters that it holds, with their versions
 * @param loading adapters that it is loading, with their versions
 * @param acceptedOrders number of orders that it had accepted since its start; empty if the report
 *     does not state it
 */
public record InventoryReport(
        long startedAtMs,
        Set<String> models,
        Map<AdapterRef, Integer> adapters,
        Map<AdapterRef, Integer> loading,
        Option<Long> acceptedOrders) {

    public InventoryReport {
        models = Set.copyOf(models);
        adapters = Map.copyOf(adapters);
        loading = Map.copyOf(loading);
    }

    /** Returns whether the engine holds the adapter or is loading it. */
    boolean lists(AdapterRef adapter) {
        return adapters.containsKey(adapter) || loading.containsKey(adapter);
    }

    /**
     * Returns whether the report is of the incarnation with the given start, as far as is known.
     */
    boolean isOfIncarnation(long startMs) {
        return startedAtMs == 0 || startMs == 0 || startedAtMs == startMs;
    }

    /** Returns whether the report is certainly of the incarnation with the given start. */
    boolean isSameStart(long startMs) {
        return startMs != 0 && startedAtMs == startMs;
    }

    /** Creates a report that does not state the number of accepted orders. */
    public InventoryReport(
            long startedAtMs,
            Set<String> models,
            Map<AdapterRef, Integer> adapters,
            Map<AdapterRef, Integer> loading) {
        this(startedAtMs, models, adapters, loading, Option.none());
    }
}
