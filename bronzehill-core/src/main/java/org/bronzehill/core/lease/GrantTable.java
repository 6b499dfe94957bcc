package org.bronzehill.core.lease;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.IntentRequest;
import org.bronzehill.protocol.generated.LeaseAnswer;
import org.bronzehill.protocol.generated.LeaseClaim;

/**
 * The grants that this instance has given in its role as a grantor. The holder of a grant holds the
 * lease only if a majority of the grantors has granted it.
 */
final class GrantTable {

    static final long LEASE_DURATION_NANOS = 2_000_000_000L;

    /**
     * Time for which a grantor that may have lost its grants in a restart grants nothing, so that
     * earlier grants have expired. The margin covers clocks that run at different speeds.
     */
    static final long GRANT_HOLD_OFF_NANOS = LEASE_DURATION_NANOS + 500_000_000L;

    static final int MAX_INTENTS = 1024;

    private final TimeSource time;
    private final Map<String, Grant> grants = new HashMap<>();

    GrantTable(TimeSource time) {
        this.time = time;
    }

    private static final class Grant {
        private Claimant holder;
        private long fencing;
        private long expiresNanos;
        private long highestFencing;

        /**
         * Highest fencing number under which a holder has had grants from a majority, as shown by a
         * claim marked as held or by an intent.
         */
        private long highestMajorityFencing;

        private long previousFencing;
        private long grantableFromNanos;
        private long lastSequence;

        /**
         * Whether {@code intents} contains every unfinished eviction that the present and earlier
         * holders have announced.
         */
        private boolean intentsComplete;

        /** Handles whose eviction a holder has announced and not finished. */
        private final Set<String> intents = new LinkedHashSet<>();

        private boolean isActive(long now) {
            return holder != null && expiresNanos - now > 0;
        }
    }

    /** A process that claims a grant. */
    record Claimant(String id, long incarnation) {}

    /**
     * Keeps the grants of the given resources and removes all others. Resources that are new here
     * are granted only after {@code holdOffNanos}.
     */
    void retain(Set<String> resources, long holdOffNanos) {
        grants.keySet().retainAll(resources);
        for (String r : resources) {
            grants.computeIfAbsent(
                    r,
                    k -> {
                        Grant g = new Grant();
                        g.grantableFromNanos = time.nanoTime() + holdOffNanos;
                        return g;
                    });
        }
    }

    LeaseAnswer claim(Claimant from, long sequence, LeaseClaim claim) {
        LeaseAnswer.Builder answer =
                LeaseAnswer.newBuilder()
                        .setResource(claim.getResource())
                        .setFencing(claim.getFencing());
        Grant g = grants.get(claim.getResource());
        long now = time.nanoTime();
        if (g == null || now - g.grantableFromNanos < 0) {
            return answer.setHighestFencing(g == null ? 0 : g.highestFencing).build();
        }
        answer.setHighestFencing(g.highestFencing);
        boolean sameHolder = from.equals(g.holder);
        if (!sameHolder && g.isActive(now)) {
            return answer.setHolder(g.holder.id())
                    .setRemainingMs(Math.max(1, (g.expiresNanos - now) / 1_000_000))
                    .build();
        }
        boolean sameEpoch = sameHolder && claim.getFencing() == g.fencing;
        if (!sameEpoch
                && claim.getFencing() <= g.highestFencing
                && !renewsMajorityLease(g, claim)) {
            return answer.build();
        }
        if (!sameEpoch) {
            startEpoch(g, from, claim.getFencing(), sameHolder);
        }
        if (claim.getHeld()) {
            g.highestMajorityFencing = Math.max(g.highestMajorityFencing, claim.getFencing());
        }
        g.expiresNanos = now + LEASE_DURATION_NANOS;
        syncIntents(g, sequence, claim);
        return answer.setGranted(true)
                .setHistoryUnknown(!g.intentsComplete)
                .setPreviousFencing(g.previousFencing)
                .addAllOpenIntents(g.intents)
                .build();
    }

    /**
     * Returns whether the claim renews a lease that a majority of the grantors has granted. This
     * grantor's highest number may come from an attempt that never reached a majority, for example
     * during a partition, and must not block such a renewal. Late claims of earlier epochs do not
     * qualify.
     */
    private static boolean renewsMajorityLease(Grant g, LeaseClaim claim) {
        return claim.getHeld() && claim.getFencing() >= g.highestMajorityFencing;
    }

    private static void startEpoch(Grant g, Claimant from, long fencing, boolean sameHolder) {
        if (!sameHolder) {
            g.previousFencing = g.fencing;
        }
        g.holder = from;
        g.fencing = fencing;
        g.highestFencing = Math.max(g.highestFencing, fencing);
        g.lastSequence = 0;
    }

    /**
     * Updates the recorded intents from a claim. Requests of one holder may arrive out of order
     * over two connections, so an older sequence is ignored.
     */
    private static void syncIntents(Grant g, long sequence, LeaseClaim claim) {
        if (sequence < g.lastSequence) {
            return;
        }
        g.lastSequence = sequence;
        if (claim.getIntentsComplete()) {
            g.intents.clear();
            g.intentsComplete = true;
        }
        for (String handle : claim.getOpenIntentsList()) {
            if (g.intents.size() < MAX_INTENTS) {
                g.intents.add(handle);
            }
        }
    }

    /**
     * Records an announced eviction or removes a finished one, if the sender is the holder of the
     * grant and no later message has changed the intents. Returns whether the sender is the holder
     * and the table now agrees with the request: it contains an announced intent, and does not
     * contain a finished one.
     */
    boolean updateIntent(Claimant from, IntentRequest request) {
        Grant g = grants.get(request.getResource());
        if (g == null || !from.equals(g.holder) || g.fencing != request.getFencing()) {
            return false;
        }
        g.highestMajorityFencing = Math.max(g.highestMajorityFencing, request.getFencing());
        if (request.getSequence() >= g.lastSequence) {
            g.lastSequence = request.getSequence();
            if (request.getFinished()) {
                g.intents.remove(request.getHandle());
            } else if (g.intents.size() < MAX_INTENTS) {
                g.intents.add(request.getHandle());
            }
        }
        return request.getFinished() != g.intents.contains(request.getHandle());
    }

    void release(Claimant from, LeaseClaim claim) {
        Grant g = grants.get(claim.getResource());
        if (g != null && from.equals(g.holder) && claim.getFencing() == g.fencing) {
            g.holder = null;
            g.expiresNanos = time.nanoTime();
        }
    }

    /** Returns the holder of an unexpired grant, or {@code null}. */
    String holder(String resource) {
        Grant g = grants.get(resource);
        return g != null && g.isActive(time.nanoTime()) ? g.holder.id() : null;
    }

    /**
     * Returns the time since which any candidate could obtain the resource; meaningless while it is
     * held.
     */
    long freeSinceNanos(String resource) {
        Grant g = grants.get(resource);
        return g.expiresNanos == 0 ? g.grantableFromNanos : g.expiresNanos;
    }

    long highestFencing(String resource) {
        Grant g = grants.get(resource);
        return g == null ? 0 : g.highestFencing;
    }
}
