package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * Software versions that have served each service lately, those of upstreams that have left
 * included. It is certain only for the time for which the upstreams have been observed without a
 * gap, which the history of the platform's store extends to the time before the start.
 */
final class ServedVersions {

    private static final Logger LOG = Logger.getLogger(ServedVersions.class);

    /**
     * Time after the removal of its record in which an upstream may still begin streams: instances
     * must have stopped using it after 2 s, but one that does not reach the store learns it later.
     */
    static final Duration LINGER = Duration.ofSeconds(3);

    /** Time for which departures are remembered; nothing is certain for a longer one. */
    static final Duration MEMORY = Duration.ofMinutes(10);

    private static final String NOT_STATED = "";

    private final TimeSource time;
    private final Duration heartbeat;
    private final Map<ServedVersion, Long> departedAt = new HashMap<>();
    private Option<Long> observedSince = Option.none();

    /** When an upstream departed of which neither service nor version is known. */
    private Option<Long> unknownDepartedAt = Option.none();

    private final VersionNumbers numbers;
    private boolean historyRead;

    private record ServedVersion(String service, String version) {

        private static ServedVersion of(UpstreamRecord r) {
            return new ServedVersion(r.service(), r.softwareVersion());
        }
    }

    /**
     * @param heartbeat interval at which an upstream writes its record; zero if it is not known, so
     *     that the ages of changes in the history cannot be estimated
     */
    ServedVersions(TimeSource time, Duration heartbeat) {
        this.time = time;
        this.heartbeat = heartbeat;
        this.numbers = new VersionNumbers(time, MEMORY.plus(LINGER));
        this.historyRead = heartbeat.isZero();
    }

    /**
     * Begins the observation anew, because the complete list of upstreams was read without the
     * changes that led to it.
     */
    void onListRead() {
        observedSince = Option.of(time.nanoTime());
    }

    /** Sets the listed upstreams after the complete list was read. */
    void onListed(Collection<UpstreamRecord> listed) {
        numbers.restart(listed);
    }

    /** Records that an upstream has been listed, or its record has changed. */
    void onListed(UpstreamRecord listed) {
        numbers.put(listed);
    }

    /**
     * Returns the version at which the stream of a request begins; empty if the identifier of the
     * request does not decide it.
     */
    Option<String> versionFor(String service, String request) {
        return numbers.versionFor(service, request);
    }

    /**
     * Returns the version at which the stream of a request has begun if all upstreams that were
     * listed since a time, or shortly before, lead to the same one.
     *
     * @param listed versions of the upstreams that are listed for the service
     * @param window time within which no other version may have served the service
     */
    Option<String> versionSince(
            String service,
            String request,
            long sinceNanos,
            Collection<String> listed,
            Duration window) {
        boolean complete =
                window.compareTo(MEMORY) <= 0
                        && !unknownDepartedAt.exists(at -> isWithin(at, window))
                        && Set.copyOf(listed).containsAll(versionsWithin(service, window));
        return complete
                ? numbers.versionSince(service, request, sinceNanos - LINGER.toNanos())
                : Option.none();
    }

    /** Records that the record of an upstream has changed, or that of its next incarnation. */
    void onChanged(UpstreamRecord from, UpstreamRecord to) {
        if (!ServedVersion.of(from).equals(ServedVersion.of(to))) {
            onDeparted(from);
        }
    }

    /** Records that an upstream is no longer listed. */
    void onDeparted(UpstreamRecord last) {
        onDeparted(last, time.nanoTime());
    }

    /** Records that an upstream is no longer listed, after its departure. */
    void onRemoved(String id) {
        numbers.remove(id);
    }

    private void onDeparted(UpstreamRecord last, long at) {
        long now = time.nanoTime();
        departedAt.values().removeIf(t -> now - t > MEMORY.plus(LINGER).toNanos());
        departedAt.merge(ServedVersion.of(last), at, (a, b) -> a - b > 0 ? a : b);
    }

    /**
     * Adds the history of the time before the list of upstreams was read. The changes since then
     * may be part of it.
     */
    void onHistory(List<UpstreamHistoryEntry> entries) {
        historyRead = true;
        if (heartbeat.isZero() || observedSince.isEmpty()) {
            return;
        }
        UpstreamHistory history = UpstreamHistory.of(entries, heartbeat, time.millis());
        long now = time.nanoTime();
        history.addListings(numbers, now);
        for (UpstreamHistory.Departure d : history.departures()) {
            long at = now - d.age().toNanos();
            d.lastRecord().forEach(r -> onDeparted(r, at));
            if (d.lastRecord().isEmpty()) {
                unknownDepartedAt =
                        Option.of(unknownDepartedAt.fold(() -> at, u -> u - at > 0 ? u : at));
            }
        }
        long since = now - history.coverage().toNanos();
        observedSince = observedSince.map(s -> s - since > 0 ? since : s);
        LOG.infof(
                "event=upstream-history entries=%d covered-ms=%d observed-ms=%d departed=%s"
                        + " unknown-departed-ms=%s",
                entries.size(),
                history.coverage().toMillis(),
                (now - observedSince.get()) / 1_000_000,
                describeDepartures(now),
                unknownDepartedAt.map(t -> Long.toString((now - t) / 1_000_000)).getOrElse("none"));
    }

    /** Records that no history can be read. */
    void onHistoryUnavailable() {
        historyRead = true;
    }

    /** Returns whether the history has been read, or cannot be read. */
    boolean isHistoryRead() {
        return historyRead;
    }

    /**
     * Returns the software version of a service if no other one is known to have served it within a
     * time before now, and the upstreams have been observed for long enough.
     *
     * @param listed versions of the upstreams that are listed for the service
     * @param observation shortest time for which the upstreams must have been observed
     */
    Option<String> onlyVersion(
            String service, Collection<String> listed, Duration window, Duration observation) {
        Option<String> known = onlyKnownVersion(service, listed, window);
        boolean observed = observedSince.exists(since -> !isWithin(since, observation));
        boolean certain =
                observed
                        && window.compareTo(MEMORY) <= 0
                        && !unknownDepartedAt.exists(at -> isWithin(at, window));
        return certain ? known : Option.none();
    }

    /**
     * Returns the software version of a service if no other one is known to have served it within a
     * time before now, for however short a time the upstreams have been observed.
     *
     * @param listed versions of the upstreams that are listed for the service
     */
    Option<String> onlyKnownVersion(String service, Collection<String> listed, Duration window) {
        Set<String> versions = versionsWithin(service, window);
        versions.addAll(listed);
        return versions.size() == 1 && !versions.contains(NOT_STATED)
                ? Option.of(versions.iterator().next())
                : Option.none();
    }

    /** Returns the versions that have departed from a service within a time before now. */
    private Set<String> versionsWithin(String service, Duration window) {
        Set<String> versions = new HashSet<>();
        departedAt.forEach(
                (served, at) -> {
                    if (served.service().equals(service) && isWithin(at, window)) {
                        versions.add(served.version());
                    }
                });
        return versions;
    }

    /** Returns whether an upstream that departed at a time may have begun a stream since. */
    private boolean isWithin(long departed, Duration window) {
        return time.nanoTime() - departed < window.plus(LINGER).toNanos();
    }

    private List<String> describeDepartures(long now) {
        return departedAt.entrySet().stream()
                .map(
                        e ->
                                e.getKey().service()
                                        + "/"
                                        + e.getKey().version()
                                        + "@"
                                        + (now - e.getValue()) / 1_000_000)
                .sorted()
                .toList();
    }
}
