package org.bronzehill.core.onceonly;

import java.time.Duration;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.ActClaimRecord;

/** Claims that a witness keeps for the resend window, oldest first. */
final class ClaimTable {

    /** Time during which a caller may resend an act and find its claim. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /** Largest number of claims; beyond it new claims are refused rather than old ones dropped. */
    static final int MAX_CLAIMS = 100_000;

    private record Stored(ActClaimRecord claim, long claimedNanos) {}

    private final TimeSource time;
    private final Map<String, Stored> claims = new LinkedHashMap<>();

    ClaimTable(TimeSource time) {
        this.time = time;
    }

    ActClaimRecord find(String key) {
        Stored stored = claims.get(key);
        return stored == null || expired(stored) ? null : stored.claim();
    }

    boolean hasRoom() {
        return claims.size() < MAX_CLAIMS;
    }

    /** Stores a claim; it keeps its place and age if the key was present. */
    void put(ActClaimRecord claim) {
        Stored old = claims.get(claim.getKey());
        long claimed =
                old != null && !expired(old)
                        ? old.claimedNanos()
                        : time.nanoTime() - Duration.ofMillis(claim.getAgeMs()).toNanos();
        claims.put(claim.getKey(), new Stored(claim, claimed));
    }

    void remove(String key) {
        claims.remove(key);
    }

    void expire() {
        Iterator<Stored> oldest = claims.values().iterator();
        while (oldest.hasNext() && expired(oldest.next())) {
            oldest.remove();
        }
    }

    /** Returns the claims with their ages, for copying. */
    Collection<ActClaimRecord> export() {
        return claims.values().stream()
                .filter(s -> !expired(s))
                .map(s -> s.claim().toBuilder().setAgeMs(age(s).toMillis()).build())
                .toList();
    }

    int size() {
        return claims.size();
    }

    private Duration age(Stored stored) {
        return Duration.ofNanos(time.nanoTime() - stored.claimedNanos());
    }

    private boolean expired(Stored stored) {
        return age(stored).compareTo(RETENTION) >= 0;
    }
}
