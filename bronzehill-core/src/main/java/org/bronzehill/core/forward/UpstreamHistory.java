package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the history of the platform's store shows of upstreams that are no longer listed. Its
 * entries have no times, so their ages are estimated from the heartbeats in them: one interval has
 * passed when each upstream that was listed has written its record once. All ages are lower bounds.
 */
final class UpstreamHistory {

    /**
     * Share of the estimated age that counts as certain. Heartbeats are not exactly periodic, and
     * an upstream may write its record earlier because it has changed.
     */
    private static final double CERTAIN_SHARE = 0.9;

    private final Duration heartbeat;
    private final Set<String> listed;
    private final Map<String, Next> next = new HashMap<>();
    private final List<Departure> departures = new ArrayList<>();

    /** Estimated age in heartbeat intervals of the entry that was read last. */
    private double intervals;

    /**
     * Software version that an upstream no longer served.
     *
     * @param lastRecord last record with this version; empty if it is not in the history
     * @param age lower bound of the time since the departure
     */
    record Departure(Option<UpstreamRecord> lastRecord, Duration age) {}

    /** The entry of an upstream that follows the one being read. */
    private record Next(Option<UpstreamRecord> written, Duration age) {}

    private UpstreamHistory(Duration heartbeat, Collection<String> listed) {
        this.heartbeat = heartbeat;
        this.listed = new HashSet<>(listed);
    }

    /**
     * Reads a history.
     *
     * @param entries all changes of the history, in the order in which they were made
     * @param listedNow identifiers of the upstreams that are listed now; those whose records have
     *     not changed in the history are not known otherwise
     * @param heartbeat interval at which an upstream writes its record
     */
    static UpstreamHistory of(
            List<UpstreamHistoryEntry> entries, Collection<String> listedNow, Duration heartbeat) {
        UpstreamHistory history = new UpstreamHistory(heartbeat, listedNow);
        for (UpstreamHistoryEntry e : entries) {
            if (e.written().isDefined()) {
                history.listed.add(e.id());
            } else {
                history.listed.remove(e.id());
            }
        }
        for (int i = entries.size() - 1; i >= 0; i--) {
            history.readBackwards(entries.get(i));
        }
        history.next.values().stream()
                .filter(n -> n.written().isEmpty())
                .map(n -> new Departure(Option.none(), n.age()))
                .forEach(history.departures::add);
        return history;
    }

    /** Reads an entry after all later ones. */
    private void readBackwards(UpstreamHistoryEntry e) {
        Next following = next.get(e.id());
        for (UpstreamRecord r : e.written()) {
            if (following != null && isHeartbeat(r, following)) {
                intervals += 1.0 / Math.max(1, listed.size());
            } else if (following != null && !following.written().exists(f -> sameVersion(f, r))) {
                departures.add(new Departure(Option.of(r), following.age()));
            }
        }
        if (e.written().isEmpty()) {
            listed.add(e.id());
        }
        next.put(e.id(), new Next(e.written(), coverage()));
        if (e.created()) {
            listed.remove(e.id());
        }
    }

    private static boolean isHeartbeat(UpstreamRecord r, Next following) {
        return following
                .written()
                .exists(f -> f.hasSameRouting(r) && f.models().equals(r.models()));
    }

    private static boolean sameVersion(UpstreamRecord a, UpstreamRecord b) {
        return a.service().equals(b.service()) && a.softwareVersion().equals(b.softwareVersion());
    }

    /** Returns a lower bound of the time that the history covers. */
    Duration coverage() {
        return Duration.ofNanos((long) (heartbeat.toNanos() * intervals * CERTAIN_SHARE));
    }

    /** Returns the departures that the history shows. */
    List<Departure> departures() {
        return departures;
    }
}
