package org.bronzehill.standin.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Prompt-prefix cache whose change events are delayed and have gaps. Not thread-safe; the engine
 * synchronizes all access.
 */
final class PrefixCache {

    private static final int MAX_PREFIXES = 256;
    private static final int MAX_EVENTS = 512;
    private static final double EVENT_DELAY_MS = 500;

    /** Change of the cache content. */
    record Event(long sequence, List<Long> stored, List<Long> removed) {}

    private record TimedEvent(Event event, double visibleAtMs) {}

    private final LinkedHashMap<Long, Boolean> cached = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long sequence;

    private PrefixCache() {}

    static PrefixCache create() {
        return new PrefixCache();
    }

    /**
     * Looks up a prefix, adds it if necessary, and returns whether it was cached before.
     *
     * @param gapEvery every event whose sequence number is a multiple of this is dropped; 0 drops
     *     none
     */
    boolean use(long hash, double nowMs, long gapEvery) {
        if (cached.put(hash, Boolean.TRUE) != null) {
            return true;
        }
        List<Long> removed = new ArrayList<>();
        if (cached.size() > MAX_PREFIXES) {
            Long eldest = cached.keySet().iterator().next();
            cached.remove(eldest);
            removed.add(eldest);
        }
        sequence++;
        if (gapEvery <= 0 || sequence % gapEvery != 0) {
            Event event = new Event(sequence, List.of(hash), removed);
            events.add(new TimedEvent(event, nowMs + EVENT_DELAY_MS));
        }
        if (events.size() > MAX_EVENTS) {
            events.remove();
        }
        return false;
    }

    /** Returns the prefixes that are cached according to all events that are visible by now. */
    List<Long> published(double nowMs) {
        Set<Long> published = new LinkedHashSet<>();
        for (TimedEvent e : events) {
            if (e.visibleAtMs() <= nowMs) {
                published.addAll(e.event().stored());
                e.event().removed().forEach(published::remove);
            }
        }
        return List.copyOf(published);
    }

    /** Returns the visible events after a sequence number. */
    Map<String, Object> eventsAfter(long lastSequence, double nowMs) {
        return Map.of(
                "events",
                events.stream()
                        .filter(
                                e ->
                                        e.visibleAtMs() <= nowMs
                                                && e.event().sequence() > lastSequence)
                        .map(TimedEvent::event)
                        .toList());
    }
}
