package org.bronzehill.core.model;

import java.util.List;

/**
 * Changes of an engine's prompt-prefix cache that were published after a sequence number. They
 * arrive late, and individual events may be missing.
 *
 * @param after sequence number after which events were requested
 * @param events in ascending order of their sequence numbers
 */
public record CacheEvents(String engine, long after, List<Event> events) {

    /**
     * One change of the cache.
     *
     * @param stored prefix hashes added to the cache
     * @param removed prefix hashes no longer cached
     */
    public record Event(long sequence, List<Long> stored, List<Long> removed) {

        public Event {
            stored = List.copyOf(stored);
            removed = List.copyOf(removed);
        }
    }

    public CacheEvents {
        events = List.copyOf(events);
    }
}
