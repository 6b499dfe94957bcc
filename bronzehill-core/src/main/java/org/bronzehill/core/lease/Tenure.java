package org.bronzehill.core.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.protocol.generated.LeaseAnswer;
import org.bronzehill.protocol.generated.LeaseClaim;

/** This instance's own claim to one resource, held or being sought. */
final class Tenure {

    private GrantorSet set;
    private final Map<String, Grant> grants = new HashMap<>();
    private final Map<String, String> rivals = new HashMap<>();
    private final Map<String, Intent> intents = new LinkedHashMap<>();
    private long fencing;
    private long seenFencing;
    private Lease lease;
    private long until;
    private boolean fenced;
    private long acquiredAt;
    private long nextClaim;
    private long quietUntil;
    private int rounds;

    /** What a grantor told with its grant of the present fencing number. */
    private record Grant(
            long until, boolean historyUnknown, long previousFencing, List<String> intents) {}

    /** An announced eviction and the grantors that recorded it. */
    static final class Intent {
        private final Set<String> recordedBy = new HashSet<>();
        private boolean acknowledged;
    }

    Tenure(GrantorSet set, long now) {
        this.set = set;
        this.nextClaim = now;
        this.quietUntil = now;
    }

    GrantorSet set() {
        return set;
    }

    /**
     * Follows a change of the grantors; grants of instances that are none any more do not count.
     */
    void regroup(GrantorSet next, long now) {
        set = next;
        grants.keySet().retainAll(next.grantors());
        until = majorityUntil(now);
    }

    long fencing() {
        return fencing;
    }

    Lease lease() {
        return lease;
    }

    boolean seeking() {
        return lease == null && rounds > 0;
    }

    boolean valid(long now) {
        return lease != null && !fenced && until - now > 0;
    }

    boolean claimDue(long now) {
        return now - nextClaim >= 0;
    }

    void nextClaim(long at) {
        nextClaim = at;
    }

    boolean quiet(long now) {
        return quietUntil - now > 0;
    }

    int countRound() {
        return ++rounds;
    }

    /** Notes a number that the next epoch must exceed. */
    void see(long number) {
        seenFencing = Math.max(seenFencing, number);
        if (lease != null && number > fencing) {
            fenced = true;
        }
    }

    /** Chooses the fencing number of the next epoch if the present one is used up. */
    void prepare(long wall) {
        if (fencing <= seenFencing || fencing == 0) {
            fencing = Math.max(wall, seenFencing + 1);
            grants.clear();
        }
    }

    void granted(String grantor, LeaseAnswer answer, long grantUntil, long now) {
        if (answer.getFencing() != fencing || !set.contains(grantor)) {
            return;
        }
        rivals.remove(grantor);
        Grant old = grants.get(grantor);
        long latest = old == null ? grantUntil : Math.max(old.until(), grantUntil);
        grants.put(
                grantor,
                new Grant(
                        latest,
                        answer.getHistoryUnknown(),
                        answer.getPreviousFencing(),
                        answer.getOpenIntentsList()));
        until = majorityUntil(now);
    }

    void refused(String grantor, LeaseAnswer answer) {
        if (lease == null) {
            see(answer.getHighestFencing());
            // A reply that arrives after the end of the attempt says nothing about the next one.
            if (seeking() && !answer.getHolder().isEmpty()) {
                rivals.put(grantor, answer.getHolder());
            }
        }
    }

    boolean hopeless() {
        return rivals.size() > set.grantors().size() - set.majority();
    }

    /** Returns whether a majority has named the same other holder. */
    boolean beaten() {
        return rivals.values().stream()
                .anyMatch(r -> Collections.frequency(rivals.values(), r) >= set.majority());
    }

    boolean hasMajority(long now) {
        return until - now > 0;
    }

    /** Returns the time until which a majority of the grantors has granted the lease. */
    private long majorityUntil(long now) {
        int majority = set.majority();
        if (grants.size() < majority || set.grantors().isEmpty()) {
            return now;
        }
        long[] ends = grants.values().stream().mapToLong(Grant::until).toArray();
        Arrays.sort(ends);
        return ends[ends.length - majority];
    }

    /** Returns the highest fencing number of an earlier holder that the grantors know. */
    long previousFencing() {
        return grants.values().stream().mapToLong(Grant::previousFencing).max().orElse(0);
    }

    /**
     * Starts an epoch.
     *
     * @param handedOver open intents from the previous holder itself, or {@code null}
     */
    Lease acquire(List<String> handedOver, long now) {
        Set<String> open = new HashSet<>();
        grants.values().forEach(g -> open.addAll(g.intents()));
        long informed = grants.values().stream().filter(g -> !g.historyUnknown()).count();
        // Every recorded intent is known to a majority, so that many informed grantors include one
        // of them.
        boolean known = informed + set.majority() > set.grantors().size();
        if (handedOver != null) {
            open.addAll(handedOver);
            known = true;
        }
        intents.clear();
        for (String handle : open) {
            Intent i = new Intent();
            i.acknowledged = true;
            intents.put(handle, i);
        }
        lease = new Lease(set.resource(), fencing, known, open);
        fenced = false;
        acquiredAt = now;
        rounds = 0;
        rivals.clear();
        return lease;
    }

    /** Ends the epoch or the attempt; the next one needs a higher fencing number. */
    void end(long quiet) {
        seenFencing = Math.max(seenFencing, fencing);
        lease = null;
        fenced = false;
        grants.clear();
        rivals.clear();
        intents.clear();
        rounds = 0;
        quietUntil = quiet;
    }

    LeaseClaim claim(long now, long historyNanos) {
        LeaseClaim.Builder c = LeaseClaim.newBuilder();
        c.setResource(set.resource()).setFencing(fencing);
        if (lease != null) {
            boolean complete = lease.historyKnown() || now - acquiredAt >= historyNanos;
            c.addAllOpenIntents(intents.keySet()).setIntentsComplete(complete).setHeld(valid(now));
        }
        return c.build();
    }

    boolean addIntent(String handle) {
        if (lease == null || intents.size() >= GrantTable.MAX_INTENTS) {
            return false;
        }
        intents.put(handle, new Intent());
        return true;
    }

    boolean removeIntent(String handle) {
        return intents.remove(handle) != null;
    }

    void recorded(String handle, String grantor) {
        Intent i = intents.get(handle);
        if (i != null && set.contains(grantor)) {
            i.recordedBy.add(grantor);
        }
    }

    /** Returns the handles whose intents a majority has recorded since the last call. */
    List<String> newlyAcknowledged() {
        List<String> ready = new ArrayList<>();
        intents.forEach(
                (handle, i) -> {
                    if (!i.acknowledged && i.recordedBy.size() >= set.majority()) {
                        i.acknowledged = true;
                        ready.add(handle);
                    }
                });
        return ready;
    }

    /** Returns the handles that the grantor has not yet recorded although a majority is needed. */
    List<String> unrecorded(String grantor) {
        List<String> open = new ArrayList<>();
        intents.forEach(
                (handle, i) -> {
                    if (!i.acknowledged && !i.recordedBy.contains(grantor)) {
                        open.add(handle);
                    }
                });
        return open;
    }
}
