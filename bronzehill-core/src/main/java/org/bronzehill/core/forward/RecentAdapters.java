package org.bronzehill.core.forward;

import java.util.LinkedHashMap;
import java.util.Map;

/** Adapters that an engine has held; the ones noted least recently are forgotten. */
final class RecentAdapters {

    /** Adapters that are remembered: several times the places of an engine. */
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
