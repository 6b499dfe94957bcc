package org.bronzehill.core.membership;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * Instances that stopped answering and are not in a published list, with the times at which their
 * addresses are probed.
 *
 * <p>An instance that starts again knows only the seeds. If these are gone, only a probe from an
 * instance that knew its address can find it. The probes go on long after the failure detector has
 * removed the instance, and become rarer with time. The live instances share them: each of them
 * probes an address so rarely that all of them together keep to the interval of the fleet.
 */
final class DepartedInstances {

    private static final Logger LOG = Logger.getLogger(DepartedInstances.class);

    /** Longer than any outage after which an instance is expected back at its address. */
    private static final Duration RETENTION = Duration.ofHours(24);

    private static final int MAX_INSTANCES = 1024;

    /**
     * Interval between probes of one address by the whole fleet shortly after the departure. A
     * starting instance that hears nobody waits 2.5 s before it acts as if it were alone.
     */
    private static final Duration MIN_FLEET_INTERVAL = Duration.ofMillis(500);

    private static final Duration MAX_FLEET_INTERVAL = Duration.ofSeconds(10);

    /** Part of the time since the departure that the interval of the fleet is. */
    private static final int AGE_DIVISOR = 300;

    /**
     * Maximum number of probes of this instance per probe period, which bounds what the loss of
     * most of a fleet costs the rest.
     */
    private static final int MAX_PROBES_PER_PERIOD = 4;

    /** Departures that a joining instance is told, those of the latest ones; one message. */
    private static final int MAX_REPORTED = 14;

    private final TimeSource time;
    private final RandomGenerator random;

    /** By id; those probed least recently come first. */
    private final Map<String, Departure> departures = new LinkedHashMap<>();

    private static final class Departure {
        private final InstanceRef ref;
        private final long departedAtNanos;

        /** Whether this instance has known the other one as live. */
        private final boolean observed;

        private long probedAtNanos;
        private double intervalFactor;

        private Departure(InstanceRef ref, long departedAtNanos, boolean observed) {
            this.ref = ref;
            this.departedAtNanos = departedAtNanos;
            this.observed = observed;
            this.probedAtNanos = departedAtNanos;
        }
    }

    DepartedInstances(TimeSource time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    /**
     * Adds the dead instances of the table, and removes those that are live again or whose address
     * a live instance uses.
     */
    void update(InstanceRef self, Collection<MemberRow> rows) {
        long now = time.nanoTime();
        Set<String> usedAddresses = new HashSet<>();
        usedAddresses.add(address(self));
        for (MemberRow row : rows) {
            if (row.health() == MemberRow.Health.DEAD) {
                continue;
            }
            usedAddresses.add(address(row.ref()));
            Departure returned = departures.remove(row.ref().id());
            if (returned != null) {
                LOG.infof(
                        "event=departed-instance-found instance=%s address=%s absent-ms=%d"
                                + " restarted=%s",
                        row.ref().id(),
                        address(row.ref()),
                        Duration.ofNanos(now - returned.departedAtNanos).toMillis(),
                        row.ref().incarnation() != returned.ref.incarnation());
            }
        }
        for (MemberRow row : rows) {
            if (row.health() == MemberRow.Health.DEAD && !row.listed()) {
                add(row.ref(), true);
            }
        }
        departures
                .values()
                .removeIf(
                        d ->
                                usedAddresses.contains(address(d.ref))
                                        || now - d.departedAtNanos >= RETENTION.toNanos());
    }

    /** Adds an instance that another one has reported as dead and that is not in the table. */
    void onReported(InstanceRef ref) {
        add(ref, false);
    }

    private void add(InstanceRef ref, boolean observed) {
        Departure known = departures.get(ref.id());
        if (ref.port() == 0 || known != null && known.ref.incarnation() >= ref.incarnation()) {
            return;
        }
        if (known == null && departures.size() >= MAX_INSTANCES) {
            Iterator<String> first = departures.keySet().iterator();
            first.next();
            first.remove();
        }
        Departure added = new Departure(ref, time.nanoTime(), observed);
        added.intervalFactor = nextFactor();
        departures.put(ref.id(), added);
    }

    /** Spreads the probes of the instances, which all notice a departure at about the same time. */
    private double nextFactor() {
        return 0.5 + random.nextDouble();
    }

    /**
     * Returns the instances to probe in this probe period, and counts them as probed.
     *
     * @param liveInstances number of live instances that share the probes, this one included
     */
    List<String> takeDue(int liveInstances) {
        long now = time.nanoTime();
        List<Departure> due = new ArrayList<>();
        for (Departure d : departures.values()) {
            double interval = fleetIntervalNanos(now - d.departedAtNanos) * d.intervalFactor;
            if (now - d.probedAtNanos >= interval * Math.max(1, liveInstances)) {
                due.add(d);
                if (due.size() == MAX_PROBES_PER_PERIOD) {
                    break;
                }
            }
        }
        for (Departure d : due) {
            d.probedAtNanos = now;
            d.intervalFactor = nextFactor();
            departures.remove(d.ref.id());
            departures.put(d.ref.id(), d);
        }
        return due.stream().map(d -> d.ref.id()).toList();
    }

    private static long fleetIntervalNanos(long ageNanos) {
        return Math.max(
                MIN_FLEET_INTERVAL.toNanos(),
                Math.min(MAX_FLEET_INTERVAL.toNanos(), ageNanos / AGE_DIVISOR));
    }

    /**
     * Returns the departures that this instance has observed itself, the latest first. Those that
     * were only reported are left out, so that no departure is passed on for ever.
     */
    List<InstanceRef> latestObserved() {
        return departures.values().stream()
                .filter(d -> d.observed)
                .sorted((a, b) -> Long.compare(b.departedAtNanos, a.departedAtNanos))
                .limit(MAX_REPORTED)
                .map(d -> d.ref)
                .toList();
    }

    /** Returns the last known reference of a departed instance. */
    Option<InstanceRef> ref(String id) {
        return Option.of(departures.get(id)).map(d -> d.ref);
    }

    int size() {
        return departures.size();
    }

    private static String address(InstanceRef ref) {
        return ref.host() + ":" + ref.port();
    }
}
