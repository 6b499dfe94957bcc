package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bronzehill.core.time.TimeSource;

/**
 * Which upstreams accept new streams, by their records, and have done so lately: what decides at
 * which software version a stream begins.
 */
final class VersionNumbers {

    private static final String NOT_STATED = "";

    private final TimeSource time;
    private final Duration memory;
    private final Map<String, Listing> listed = new HashMap<>();
    private final List<Listing> past = new ArrayList<>();
    private Option<Long> knownSince = Option.none();

    /** Present numbers by service and version, counted when they are asked for. */
    private final Map<String, Map<String, Integer>> numbers = new HashMap<>();

    /**
     * Time for which a record of an upstream has stated a service and a version. Both ends may have
     * been earlier than stated.
     *
     * @param service empty if neither service nor version is known
     * @param sinceNanos monotonic time
     * @param untilNanos monotonic time; for an upstream that is listed, the time of its listing
     */
    record Listing(String service, String version, long sinceNanos, long untilNanos) {

        /** Returns the listing of an upstream whose record is not known. */
        static Listing unknown(long untilNanos) {
            return new Listing("", NOT_STATED, untilNanos, untilNanos);
        }

        boolean isOf(UpstreamRecord r) {
            return !r.draining()
                    && service.equals(r.service())
                    && version.equals(r.softwareVersion());
        }

        Listing until(long nanos) {
            return new Listing(service, version, sinceNanos, nanos);
        }
    }

    /**
     * @param memory time for which earlier listings are kept
     */
    VersionNumbers(TimeSource time, Duration memory) {
        this.time = time;
        this.memory = memory;
    }

    /** Forgets what was known, because changes between it and the present list are unknown. */
    void restart(Collection<UpstreamRecord> records) {
        listed.clear();
        past.clear();
        numbers.clear();
        knownSince = Option.of(time.nanoTime());
        records.forEach(this::put);
    }

    /** Applies the record of an upstream. */
    void put(UpstreamRecord r) {
        Listing known = listed.get(r.id());
        if (known != null && known.isOf(r)) {
            return;
        }
        remove(r.id());
        if (!r.draining()) {
            long now = time.nanoTime();
            numbers.remove(r.service());
            listed.put(r.id(), new Listing(r.service(), r.softwareVersion(), now, now));
        }
    }

    /** Records that an upstream is no longer listed. */
    void remove(String id) {
        Listing ended = listed.remove(id);
        if (ended != null) {
            long now = time.nanoTime();
            numbers.remove(ended.service());
            past.removeIf(l -> now - l.untilNanos() > memory.toNanos());
            past.add(ended.until(now));
        }
    }

    /**
     * Adds what is known of the time before the first list.
     *
     * @param since monotonic time since when all listings are known
     * @param ended listings that have ended
     * @param began monotonic times since when upstreams have been listed that still are
     * @param changed identifiers of the upstreams that have changed; the others have been listed
     *     since then if they are now
     */
    void addHistory(long since, List<Listing> ended, Map<String, Long> began, Set<String> changed) {
        if (knownSince.forAll(known -> since - known >= 0)) {
            return;
        }
        knownSince = Option.of(since);
        past.addAll(ended);
        listed.replaceAll(
                (id, l) -> {
                    long first =
                            changed.contains(id) ? began.getOrDefault(id, l.sinceNanos()) : since;
                    return first - l.sinceNanos() < 0
                            ? new Listing(l.service(), l.version(), first, l.untilNanos())
                            : l;
                });
    }

    /**
     * Returns the version at which the stream of a request begins. Empty if a single version serves
     * the service, or an upstream states none, so that the identifier decides nothing.
     */
    Option<String> versionFor(String service, String request) {
        Map<String, Integer> present = numbers.computeIfAbsent(service, this::count);
        return present.size() > 1 && !present.containsKey(NOT_STATED)
                ? VersionChoice.choose(request, present)
                : Option.none();
    }

    private Map<String, Integer> count(String service) {
        Map<String, Integer> counted = new TreeMap<>();
        for (Listing l : listed.values()) {
            if (l.service().equals(service)) {
                counted.merge(l.version(), 1, Integer::sum);
            }
        }
        return counted;
    }

    /**
     * Returns the version at which the stream of a request has begun, if it is the same for all
     * upstreams that an instance can have taken for listed since a time.
     *
     * @param sinceNanos monotonic time
     */
    Option<String> versionSince(String service, String request, long sinceNanos) {
        if (!knownSince.exists(known -> known - sinceNanos <= 0)) {
            return Option.none();
        }
        Map<String, VersionChoice.Range> ranges = new HashMap<>();
        for (Listing l : past) {
            boolean counts = l.untilNanos() - sinceNanos >= 0;
            if (counts && l.service().isEmpty()) {
                return Option.none();
            }
            if (counts && l.service().equals(service)) {
                add(ranges, l.version(), 0);
            }
        }
        for (Listing l : listed.values()) {
            if (l.service().equals(service)) {
                add(ranges, l.version(), l.sinceNanos() - sinceNanos <= 0 ? 1 : 0);
            }
        }
        return ranges.containsKey(NOT_STATED)
                ? Option.none()
                : VersionChoice.chooseForAll(request, ranges);
    }

    private static void add(
            Map<String, VersionChoice.Range> ranges, String version, int listedThroughout) {
        ranges.merge(
                version,
                new VersionChoice.Range(listedThroughout, 1),
                (a, b) -> new VersionChoice.Range(a.min() + b.min(), a.max() + b.max()));
    }
}
