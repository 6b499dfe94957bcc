package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.time.TimeSource;

/**
 * Selects the instance of a data centre that collects the loads of the others there: the live one
 * with the fastest link, and among those with similar links the first one in the rendezvous order
 * of the data centre. A collector sends many times the bytes of another instance. An instance that
 * receives no digest from its collector uses the next one for a while, so that a failed collector
 * is replaced before the membership detects the failure.
 */
final class CollectorSelection {

    /**
     * Time without a digest after which a collector is excluded: two repetition intervals of a
     * digest, and the longest interval between digests in a data centre of a hundred instances.
     */
    private static final Duration DIGEST_TIMEOUT =
            LoadDigests.REPEAT_INTERVAL.multipliedBy(2).plusMillis(800);

    /**
     * Time for which a silent collector is excluded: until the membership has detected its failure.
     */
    private static final Duration EXCLUSION_TIME = Duration.ofSeconds(3);

    private final Membership membership;
    private final TimeSource time;
    private final Map<String, Long> excludedUntil = new HashMap<>();
    private final Map<String, List<InstanceRef>> ranked = new HashMap<>();
    private List<InstanceRef> rankedMembers = List.of();
    private String current = "";
    private long digestReceivedAt;

    CollectorSelection(Membership membership, TimeSource time) {
        this.membership = membership;
        this.time = time;
    }

    /** Returns the instance that collects for this one; empty if this instance is the collector. */
    Option<String> ownCollector() {
        long now = time.nanoTime();
        if (!current.isEmpty() && now - digestReceivedAt > DIGEST_TIMEOUT.toNanos()) {
            excludedUntil.put(current, now + EXCLUSION_TIME.toNanos());
        }
        excludedUntil.values().removeIf(until -> now - until >= 0);
        String self = membership.self().id();
        String selected = self;
        for (InstanceRef i : rankedIn(membership.self().dataCentre())) {
            if (i.id().equals(self) || !excludedUntil.containsKey(i.id())) {
                selected = i.id();
                break;
            }
        }
        if (!selected.equals(current)) {
            current = selected;
            digestReceivedAt = now;
        }
        if (selected.equals(self)) {
            digestReceivedAt = now;
            return Option.none();
        }
        return Option.of(selected);
    }

    /** Records that a digest was received. */
    void onDigest(String from) {
        if (from.equals(current)) {
            digestReceivedAt = time.nanoTime();
        }
    }

    /**
     * Returns the instance that each data centre selects if none is excluded, without this
     * instance.
     */
    Set<String> firstRankedPeers() {
        refresh();
        Set<String> firsts = new HashSet<>();
        for (List<InstanceRef> members : ranked.values()) {
            if (!members.get(0).id().equals(membership.self().id())) {
                firsts.add(members.get(0).id());
            }
        }
        return firsts;
    }

    /** Returns the number of live instances in this instance's data centre. */
    int dataCentreSize() {
        return Math.max(1, rankedIn(membership.self().dataCentre()).size());
    }

    private List<InstanceRef> rankedIn(String dataCentre) {
        refresh();
        return ranked.getOrDefault(dataCentre, List.of());
    }

    private void refresh() {
        List<InstanceRef> live = membership.live();
        if (live == rankedMembers) {
            return;
        }
        rankedMembers = live;
        ranked.clear();
        Map<String, Set<InstanceRef>> byDataCentre = new HashMap<>();
        live.forEach(
                i -> byDataCentre.computeIfAbsent(i.dataCentre(), d -> new HashSet<>()).add(i));
        byDataCentre.forEach(
                (d, members) -> {
                    List<InstanceRef> order =
                            new ArrayList<>(RendezvousHash.rank(d, members, InstanceRef::id));
                    // The sort is stable.
                    order.sort(Comparator.comparingInt(CollectorSelection::linkClass).reversed());
                    ranked.put(d, order);
                });
    }

    /** Returns the same number for links whose bandwidths differ by less than a factor of two. */
    private static int linkClass(InstanceRef instance) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, instance.linkMbps()));
    }
}
