package org.bronzehill.core.forward;

import java.util.LinkedHashMap;
import java.util.Map;

/** Adapters that an engine has held recently, with LRU eviction. */
final class RecentAdapters {

    /** Largest number of adapters that are kept: several times the adapter slots of an engine. */
    private static final int MAX_ADAPTERS = 256;

    private final Map<AdapterRef, Boolean> adapters =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<AdapterRef, Boolean> eldest) {
                    return size() > MAX_ADAPTERS;
                }
            };

    void add(AdapterRef adapter) {
        adapters.put(adapter, true);
    }

    boolean contains(AdapterRef adapter) {
        return adapters.containsKey(adapter);
    }
}
