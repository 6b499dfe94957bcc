package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the history of the platform's store shows of upstreams that are no longer listed, and of the
 * numbers of those that were. Its entries have no times, so their ages are estimated from the
 * heartbeats in them, and from the starts that the records of upstreams state, since an upstream
 * registers soon after its start. All ages are lower bounds.
 */
final class UpstreamHistory {

    /** Share of the heartbeat interval that counts, because heartbeats are not exactly periodic. */
    private static final double CERTAIN_SHARE = 0.9;

    /**
     * Time within which an upstream has registered after its start, in heartbeat intervals. If the
     * store is not available then, its record comes later.
     */
    private static final int REGISTRATION_HEARTBEATS = 2;

    /** Largest difference between the clocks of an upstream and of this instance. */
    private static final Duration CLOCK_DIFFERENCE = Duration.ofMillis(2500);

    private final List<UpstreamHistoryEntry> entries;
    private final Duration heartbeat;
    private final long nowMs;
    private final HeartbeatCount heartbeats;
    private final List<Departure> departures = new ArrayList<>();

    /** Lower bounds of the ages of the entries that follow from starts of upstreams. */
    private final long[] agesByStartsMs;

    /**
     * Software version that an upstream no longer served.
     *
     * @param lastRecord last record with this version; empty if it is not in the history
     * @param age lower bound of the time since the departure
     */
    record Departure(Option<UpstreamRecord> lastRecord, Duration age) {}

    private UpstreamHistory(List<UpstreamHistoryEntry> entries, Duration heartbeat, long nowMs) {
        this.entries = entries;
        this.heartbeat = heartbeat;
        this.nowMs = nowMs;
        this.agesByStartsMs = new long[entries.size()];
        this.heartbeats = HeartbeatCount.of(entries);
    }

    /**
     * Reads a history.
     *
     * @param entries all changes of the history, in the order in which they were made
     * @param heartbeat interval at which an upstream writes its record
     * @param nowMs Unix time in ms by the clock of this instance
     */
    static UpstreamHistory of(List<UpstreamHistoryEntry> entries, Duration heartbeat, long nowMs) {
        UpstreamHistory history = new UpstreamHistory(entries, heartbeat, nowMs);
        history.findAgesByStarts();
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
        Duration byHeartbeats = Duration.ofNanos((long) (heartbeat.toNanos() * certain));
        Duration byStarts =
                index < agesByStartsMs.length
                        ? Duration.ofMillis(agesByStartsMs[index])
                        : Duration.ZERO;
        return byHeartbeats.compareTo(byStarts) > 0 ? byHeartbeats : byStarts;
    }

    /**
     * Finds the ages of changes that follow from the first records of upstreams after them. The
     * record itself may be late, for example after an outage of the store. One that is written
     * again after its removal had lapsed, mostly because of an outage, so no record from the
     * removal on tells anything. A record is not older than the starts that records before it
     * state.
     */
    private void findAgesByStarts() {
        Map<String, UpstreamRecord> last = new HashMap<>();
        Map<String, Integer> removedAt = new HashMap<>();
        Map<String, Long> removedStarts = new HashMap<>();
        int lapsedFrom = entries.size();
        long latestStartMs = 0;
        for (int i = 0; i < entries.size(); i++) {
            UpstreamHistoryEntry e = entries.get(i);
            UpstreamRecord before = last.get(e.id());
            if (e.written().isEmpty()) {
                last.remove(e.id());
                removedAt.put(e.id(), i);
                removedStarts.put(e.id(), before == null ? 0L : before.startedAtMs());
                continue;
            }
            UpstreamRecord r = e.written().get();
            last.put(e.id(), r);
            latestStartMs = Math.max(latestStartMs, r.startedAtMs());
            if (before == null && isSameStart(removedStarts.get(e.id()), r.startedAtMs())) {
                lapsedFrom = Math.min(lapsedFrom, removedAt.get(e.id()));
            }
            boolean first = before == null ? e.created() : before.startedAtMs() != r.startedAtMs();
            if (first && r.startedAtMs() > 0) {
                agesByStartsMs[i] = Math.max(0, ageOfRegistrationMs(latestStartMs));
            }
        }
        long later = 0;
        for (int i = entries.size() - 1; i >= 0; i--) {
            long own = i < lapsedFrom ? Math.min(agesByStartsMs[i], longestAgeMs(i)) : 0;
            agesByStartsMs[i] = later;
            later = Math.max(later, own);
        }
    }

    /**
     * Returns the longest time that can have passed since an entry while upstreams have written
     * heartbeats. A registration that an outage of the store has delayed is so not taken for an
     * earlier one. Without any heartbeats nothing bounds the time.
     */
    private long longestAgeMs(int index) {
        return heartbeats.since(0) == 0
                ? Long.MAX_VALUE
                : heartbeat.toMillis() * (heartbeats.since(index) + 2);
    }

    /** Returns whether a start may be the one of a removed record; 0 stands for an unknown one. */
    private static boolean isSameStart(Long removed, long startedAtMs) {
        return removed != null && (removed == 0 || removed == startedAtMs);
    }

    private long ageOfRegistrationMs(long startedAtMs) {
        return nowMs
                - startedAtMs
                - heartbeat.toMillis() * REGISTRATION_HEARTBEATS
                - CLOCK_DIFFERENCE.toMillis();
    }

    /**
     * Adds which upstreams were listed in the time that the history covers.
     *
     * @param to numbers of the upstreams that are listed now
     * @param nowNanos monotonic time of now
     */
    void addListings(VersionNumbers to, long nowNanos) {
        long beginning = nowNanos - coverage().toNanos();
        List<VersionNumbers.Listing> ended = new ArrayList<>();
        Map<String, VersionNumbers.Listing> open = new HashMap<>();
        Map<String, Long> began = new HashMap<>();
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < entries.size(); i++) {
            UpstreamHistoryEntry e = entries.get(i);
            long at = nowNanos - age(i).toNanos();
            if (seen.add(e.id())) {
                listingBefore(e, beginning, at, ended).forEach(l -> open.put(e.id(), l));
            }
            VersionNumbers.Listing before = open.get(e.id());
            Option<UpstreamRecord> now = e.written().filter(r -> !r.draining());
            if (before != null && now.exists(before::isOf)) {
                continue;
            }
            if (before != null) {
                ended.add(before.until(at));
                open.remove(e.id());
            }
            now.forEach(
                    r ->
                            open.put(
                                    e.id(),
                                    new VersionNumbers.Listing(
                                            r.service(), r.softwareVersion(), at, at)));
        }
        open.forEach((id, l) -> began.put(id, l.sinceNanos()));
        to.addHistory(beginning, ended, began, seen);
    }

    /**
     * Returns the listing of an upstream before its first entry; empty if it was not listed. If its
     * record is not known, an unknown listing is added to those that have ended.
     */
    private Option<VersionNumbers.Listing> listingBefore(
            UpstreamHistoryEntry first,
            long beginning,
            long at,
            List<VersionNumbers.Listing> ended) {
        if (first.created()) {
            return Option.none();
        }
        // It may have started since the beginning, so that an earlier start was listed then.
        boolean mayHaveStarted =
                first.written()
                        .forAll(
                                r ->
                                        r.startedAtMs() > 0
                                                && ageOfRegistrationMs(r.startedAtMs())
                                                        < coverage().toMillis());
        if (mayHaveStarted) {
            ended.add(VersionNumbers.Listing.unknown(at));
        }
        return first.written()
                .filter(r -> !mayHaveStarted)
                .map(
                        r ->
                                new VersionNumbers.Listing(
                                        r.service(), r.softwareVersion(), beginning, beginning));
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
