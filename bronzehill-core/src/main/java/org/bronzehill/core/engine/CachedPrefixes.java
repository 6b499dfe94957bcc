package org.bronzehill.core.engine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import org.bronzehill.core.model.CacheEvents;

/** The prompt prefixes that an engine is believed to have cached, according to its cache events. */
final class CachedPrefixes {

    /** Bounds the memory for each engine; the prefix stored longest ago is dropped first. */
    private static final int MAX_PREFIXES = 256;

    private final LinkedHashSet<Long> cached = new LinkedHashSet<>();
    private long lastSequence;

    /** Returns the sequence number of the last event read, or 0 if none was. */
    long lastSequence() {
        return lastSequence;
    }

    /** Applies the events; an answer to a question that is no longer the current one is ignored. */
    void onEvents(CacheEvents answer) {
        if (answer.after() != lastSequence) {
            return;
        }
        for (CacheEvents.Event e : answer.events()) {
            if (e.sequence() <= lastSequence) {
                continue;
            }
            if (e.sequence() != lastSequence + 1) {
                // A missing event may have removed any of the prefixes known before it.
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

    /** Forgets everything after a restart of the engine, whose sequence begins anew. */
    void onEngineRestart() {
        cached.clear();
        lastSequence = 0;
    }

    /** Returns at most {@code count} of the prefixes, those stored last, in the order stored. */
    List<Long> latest(int count) {
        List<Long> all = new ArrayList<>(cached);
        return all.subList(Math.max(0, all.size() - count), all.size());
    }
}
