package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;

/**
 * Records of upstreams that are older than what is known of these upstreams, because the store was
 * restored from an older copy. They list upstreams that have left, whose addresses may belong to
 * others by now. Such a record is not used until the upstream publishes it again, or has kept it
 * for some time.
 */
final class OutdatedRecords {

    /** Time for which a departure is remembered; copies are some seconds old. */
    private static final Duration DEPARTURE_MEMORY = Duration.ofSeconds(60);

    /**
     * Time after a return for which outdated records are not used. The platform removes a record
     * after three heartbeat intervals, about 3 s, without a heartbeat.
     */
    static final Duration HOLD_TIME = Duration.ofSeconds(5);

    private final TimeSource time;
    private final Map<String, Departure> departures = new HashMap<>();
    private final Map<String, UpstreamRecord> held = new HashMap<>();
    private boolean restored;
    private long restoredAt;

    private record Departure(UpstreamRecord last, long at) {}

    OutdatedRecords(TimeSource time) {
        this.time = time;
    }

    /** Records the return of the store from an older copy. */
    void onStoreRestored() {
        restored = true;
        restoredAt = time.nanoTime();
    }

    /** Records that an upstream is no longer listed. */
    void onDeparted(UpstreamRecord last) {
        long now = time.nanoTime();
        departures.values().removeIf(d -> now - d.at() > DEPARTURE_MEMORY.toNanos());
        departures.put(last.id(), new Departure(last, now));
    }

    /** Records that an upstream has published its record. */
    void onPublished(String id) {
        departures.remove(id);
        held.remove(id);
    }

    /** Drops a record that is gone. */
    void onRemoved(String id) {
        held.remove(id);
    }

    /** Drops all records, because the complete contents of the store are read anew. */
    void clear() {
        held.clear();
    }

    /**
     * Holds a record of the restored contents back if it is older than the one known before.
     *
     * @param listed state of the upstream with this identifier; null if none is listed
     */
    boolean holdIfOutdated(UpstreamRecord read, UpstreamState listed) {
        boolean outdated = isActive() && isOutdated(read, listed);
        if (outdated) {
            held.put(read.id(), read);
        }
        return outdated;
    }

    private boolean isActive() {
        return restored && time.nanoTime() - restoredAt < HOLD_TIME.toNanos();
    }

    private boolean isOutdated(UpstreamRecord read, UpstreamState listed) {
        if (listed != null) {
            UpstreamRecord known = listed.upstreamRecord();
            return read.sameIncarnation(known)
                    ? known.draining() && !read.draining()
                    : read.startedAtMs() < known.startedAtMs();
        }
        Departure departure = departures.get(read.id());
        return departure != null
                && departure.at() - restoredAt <= 0
                && read.startedAtMs() <= departure.last().startedAtMs();
    }

    /** Returns the records that are to be used now although they looked outdated. */
    List<UpstreamRecord> takeDue() {
        if (held.isEmpty() || isActive()) {
            return List.of();
        }
        List<UpstreamRecord> due = List.copyOf(held.values());
        held.clear();
        return due;
    }
}
