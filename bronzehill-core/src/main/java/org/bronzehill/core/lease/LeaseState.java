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

/** State of this instance's lease on one resource, or of its attempts to acquire it. */
final class LeaseState {

    private GrantorSet set;
    private final Map<String, Grant> grants = new HashMap<>();
    private final Map<String, String> namedHolders = new HashMap<>();
    private final Map<String, Intent> intents = new LinkedHashMap<>();
    private long fencing;
    private long highestSeenFencing;
    private Lease lease;
    private long validUntilNanos;
    private boolean fenced;
    private long acquiredAtNanos;
    private long nextClaimNanos;
    private long backoffUntilNanos;
    private int claimRounds;

    /** A grantor's answer that granted the current fencing number. */
    private record Grant(
            long untilNanos,
            boolean historyUnknown,
            long previousFencing,
            List<String> openIntents) {}

    /** An announced eviction and the grantors that have recorded it. */
    static final class Intent {
        private final Set<String> recordedBy = new HashSet<>();
        private boolean acknowledged;
    }

    LeaseState(GrantorSet set, long now) {
        this.set = set;
        this.nextClaimNanos = now;
        this.backoffUntilNanos = now;
    }

    GrantorSet set() {
        return set;
    }

    /** Replaces the grantors; grants of instances that are no longer grantors do not count. */
    void updateGrantors(GrantorSet next, long now) {
        set = next;
        grants.keySet().retainAll(next.grantors());
        validUntilNanos = majorityUntilNanos(now);
    }

    long fencing() {
        return fencing;
    }

    Lease lease() {
        return lease;
    }

    boolean isAcquiring() {
        return lease == null && claimRounds > 0;
    }

    boolean isValid(long now) {
        return lease != null && !fenced && validUntilNanos - now > 0;
    }

    boolean isClaimDue(long now) {
        return now - nextClaimNanos >= 0;
    }

    void scheduleClaim(long at) {
        nextClaimNanos = at;
    }

    boolean isBackingOff(long now) {
        return backoffUntilNanos - now > 0;
    }

    int countClaimRound() {
        return ++claimRounds;
    }

    /**
     * Records a number that the next epoch must exceed. The present lease becomes invalid if the
     * number is higher than its own.
     */
    void observeFencing(long number) {
        highestSeenFencing = Math.max(highestSeenFencing, number);
        if (lease != null && number > fencing) {
            fenced = true;
        }
    }

    /** Chooses a new fencing number if the current one was used or a higher one is known. */
    void chooseFencing(long wallClockFencing) {
        if (fencing <= highestSeenFencing || fencing == 0) {
            fencing = Math.max(wallClockFencing, highestSeenFencing + 1);
            grants.clear();
        }
    }

    void onGranted(String grantor, LeaseAnswer answer, long grantUntil, long now) {
        if (answer.getFencing() != fencing || !set.contains(grantor)) {
            return;
        }
        namedHolders.remove(grantor);
        Grant old = grants.get(grantor);
        long latest = old == null ? grantUntil : Math.max(old.untilNanos(), grantUntil);
        grants.put(
                grantor,
                new Grant(
                        latest,
                        answer.getHistoryUnknown(),
                        answer.getPreviousFencing(),
                        answer.getOpenIntentsList()));
        validUntilNanos = majorityUntilNanos(now);
    }

    void onRefused(String grantor, LeaseAnswer answer) {
        if (lease == null) {
            observeFencing(answer.getHighestFencing());
            // A reply that arrives after the end of an attempt must not count for the next attempt.
            if (isAcquiring() && !answer.getHolder().isEmpty()) {
                namedHolders.put(grantor, answer.getHolder());
            }
        }
    }

    boolean cannotReachMajority() {
        return namedHolders.size() > set.grantors().size() - set.majority();
    }

    /** Returns whether a majority of the grantors has named the same other holder. */
    boolean majorityNamesOneHolder() {
        return namedHolders.values().stream()
                .anyMatch(r -> Collections.frequency(namedHolders.values(), r) >= set.majority());
    }

    boolean hasMajority(long now) {
        return validUntilNanos - now > 0;
    }

    /** Returns the time until which a majority of the grantors has granted the lease. */
    private long majorityUntilNanos(long now) {
        int majority = set.majority();
        if (grants.size() < majority || set.grantors().isEmpty()) {
            return now;
        }
        long[] ends = grants.values().stream().mapToLong(Grant::untilNanos).toArray();
        Arrays.sort(ends);
        return ends[ends.length - majority];
    }

    /** Returns the highest fencing number of an earlier holder that the grantors have reported. */
    long previousFencing() {
        return grants.values().stream().mapToLong(Grant::previousFencing).max().orElse(0);
    }

    /**
     * Starts an epoch.
     *
     * @param handedOver open intents in the previous holder's handover; {@code null} without one
     */
    Lease acquire(List<String> handedOver, long now) {
        Set<String> open = new HashSet<>();
        grants.values().forEach(g -> open.addAll(g.openIntents()));
        long grantorsWithCompleteIntents =
                grants.values().stream().filter(g -> !g.historyUnknown()).count();
        // A majority knows every acknowledged intent. So the list is complete if the grantors with
        // a known history are enough to overlap with any majority.
        boolean known = grantorsWithCompleteIntents + set.majority() > set.grantors().size();
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
        acquiredAtNanos = now;
        claimRounds = 0;
        namedHolders.clear();
        return lease;
    }

    /** Ends the epoch or the attempt; the next one needs a higher fencing number. */
    void end(long backoffUntil) {
        highestSeenFencing = Math.max(highestSeenFencing, fencing);
        lease = null;
        fenced = false;
        grants.clear();
        namedHolders.clear();
        intents.clear();
        claimRounds = 0;
        backoffUntilNanos = backoffUntil;
    }

    LeaseClaim claim(long now, long completeAfterNanos) {
        LeaseClaim.Builder c = LeaseClaim.newBuilder();
        c.setResource(set.resource()).setFencing(fencing);
        if (lease != null) {
            boolean complete = lease.historyKnown() || now - acquiredAtNanos >= completeAfterNanos;
            c.addAllOpenIntents(intents.keySet())
                    .setIntentsComplete(complete)
                    .setHeld(isValid(now));
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

    void recordIntent(String handle, String grantor) {
        Intent i = intents.get(handle);
        if (i != null && set.contains(grantor)) {
            i.recordedBy.add(grantor);
        }
    }

    /** Returns the handles whose intents a majority has recorded since the last call. */
    List<String> newlyAcknowledgedIntents() {
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

    /** Returns the unacknowledged intents that the grantor has not recorded yet. */
    List<String> unrecordedIntents(String grantor) {
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
