package org.bronzehill.core.model;

import java.util.List;

/**
 * Load and residency report of an engine; it lags behind the actual state of the engine.
 *
 * @param startNumber changes with every restart of the engine
 * @param stampMs engine clock in ms when the report was made
 * @param highestFencing highest fencing number accepted by the engine; 0 if the engine ignores it
 * @param prefixes hashes of prompt prefixes that are probably cached
 */
public record EngineReport(
        String engine,
        long startNumber,
        long stampMs,
        long highestFencing,
        List<HandleReport> handles,
        int running,
        int waiting,
        List<Long> prefixes) {

    /**
     * State of one loaded or loading handle.
     *
     * @param running number of requests that run on the handle
     */
    public record HandleReport(String handle, boolean loading, int running) {}

    public EngineReport {
        handles = List.copyOf(handles);
        prefixes = List.copyOf(prefixes);
    }
}
