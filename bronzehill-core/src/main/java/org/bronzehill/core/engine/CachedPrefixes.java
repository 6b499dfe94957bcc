package org.bronzehill.core.engine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import org.bronzehill.core.model.CacheEvents;

/** Prompt prefixes in an engine's cache, as derived from its cache events. */
final class CachedPrefixes {

    /** Bounds the memory for each engine; the prefix stored least recently is dropped first. */
    private static final int MAX_PREFIXES = 256;

    private final LinkedHashSet<Long> cached = new LinkedHashSet<>();
    private long lastSequence;

    /** Returns the sequence number of the last event applied, or 0 if there is none. */
    long lastSequence() {
        return lastSequence;
    }

    /**
     * Applies the events. An answer that does not continue the last event applied is ignored: it
     * belongs to an earlier query, for example one sent before the engine restarted.
     */
    void onEvents(CacheEvents answer) {
        if (answer.after() != lastSequence) {
            return;
        }
        for (CacheEvents.Event e : answer.events()) {
            if (e.sequence() <= lastSequence) {
                continue;
            }
            if (e.sequence() != lastSequence + 1) {
                // The missing event may have removed any of the prefixes stored before it.
                cached.clear();
            }
            lastSequence = e.sequence();
            for (Long hash : e.stored()) {
                cached.remove(hash);
                cached.add(hash);
            }
            e.removed().forEach(cached::remove);
            while (cached.size() > MAX_PREFIXES) {
                cached.remove(cached.iterator().next());
            }
        }
    }

    /**
     * Clears the set after a restart of the engine, whose event sequence then starts again at 1.
     */
    void onEngineRestart() {
        cached.clear();
        lastSequence = 0;
    }

    /**
     * Returns the {@code count} prefixes stored most recently, in the order in which they were
     * stored.
     */
    List<Long> latest(int count) {
        List<Long> all = new ArrayList<>(cached);
        return all.subList(Math.max(0, all.size() - count), all.size());
    }
}
