package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the history of the platform's store shows of upstreams that are no longer listed. Its
 * entries have no times, so their ages are estimated from the heartbeats in them. All ages are
 * lower bounds.
 */
final class UpstreamHistory {

    /** Share of the heartbeat interval that counts, because heartbeats are not exactly periodic. */
    private static final double CERTAIN_SHARE = 0.9;

    private final Duration heartbeat;
    private final HeartbeatCount heartbeats;
    private final List<Departure> departures = new ArrayList<>();

    /**
     * Software version that an upstream no longer served.
     *
     * @param lastRecord last record with this version; empty if it is not in the history
     * @param age lower bound of the time since the departure
     */
    record Departure(Option<UpstreamRecord> lastRecord, Duration age) {}

    private UpstreamHistory(List<UpstreamHistoryEntry> entries, Duration heartbeat) {
        this.heartbeat = heartbeat;
        this.heartbeats = HeartbeatCount.of(entries);
    }

    /**
     * Reads a history.
     *
     * @param entries all changes of the history, in the order in which they were made
     * @param heartbeat interval at which an upstream writes its record
     */
    static UpstreamHistory of(List<UpstreamHistoryEntry> entries, Duration heartbeat) {
        UpstreamHistory history = new UpstreamHistory(entries, heartbeat);
        Map<String, UpstreamRecord> last = new HashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            UpstreamHistoryEntry e = entries.get(i);
            Option<UpstreamRecord> before = Option.of(last.get(e.id()));
            boolean departed =
                    before.isEmpty()
                            ? e.written().isEmpty()
                            : !e.written().exists(r -> sameVersion(r, before.get()));
            if (departed) {
                history.departures.add(new Departure(before, history.age(i)));
            }
            last.put(e.id(), e.written().getOrNull());
        }
        return history;
    }

    private static boolean sameVersion(UpstreamRecord a, UpstreamRecord b) {
        return a.service().equals(b.service()) && a.softwareVersion().equals(b.softwareVersion());
    }

    private Duration age(int index) {
        double certain = heartbeats.since(index) * CERTAIN_SHARE;
        return Duration.ofNanos((long) (heartbeat.toNanos() * certain));
    }

    /** Returns a lower bound of the time that the history covers. */
    Duration coverage() {
        return age(0);
    }

    /** Returns the departures that the history shows. */
    List<Departure> departures() {
        return List.copyOf(departures);
    }
}
