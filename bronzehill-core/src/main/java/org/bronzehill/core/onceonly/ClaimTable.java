package org.bronzehill.core.onceonly;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActState;

/** Claims that a witness retains for the resend window, oldest key first. */
final class ClaimTable {

    /** Resend window: time during which a resent act is matched with its claim. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /**
     * Maximum number of keys with claims. When it is reached, new claims are refused; claims within
     * the resend window are never removed to make room.
     */
    static final int MAX_CLAIMS = 100_000;

    /**
     * Maximum number of claims per key; a copied claim beyond it is dropped. It exceeds {@link
     * WitnessSets#MAX_WITNESSES}, because each witness votes for one executor.
     */
    private static final int MAX_CLAIMS_PER_KEY = 8;

    /** The claims on one key. There are several only while copies from other witnesses conflict. */
    private record KeyClaims(List<ActClaimRecord> records, long claimedNanos) {}

    private final TimeSource time;
    private final Map<String, KeyClaims> claims = new LinkedHashMap<>();

    ClaimTable(TimeSource time) {
        this.time = time;
    }

    /** Returns all claims on the key that have neither expired nor been removed. */
    List<ActClaimRecord> find(String key) {
        KeyClaims keyClaims = claims.get(key);
        return keyClaims == null || isExpired(keyClaims) ? List.of() : keyClaims.records();
    }

    boolean hasRoom() {
        return claims.size() < MAX_CLAIMS;
    }

    /**
     * Replaces all claims on a key by the given one. The key keeps its position and age if it was
     * present.
     */
    void put(ActClaimRecord claim) {
        store(claim, List.of(claim));
    }

    private void store(ActClaimRecord claim, List<ActClaimRecord> records) {
        KeyClaims old = claims.get(claim.getKey());
        long claimed =
                old != null && !isExpired(old)
                        ? old.claimedNanos()
                        : time.nanoTime() - Duration.ofMillis(claim.getAgeMs()).toNanos();
        claims.put(claim.getKey(), new KeyClaims(List.copyOf(records), claimed));
    }

    /**
     * Adds a claim copied from another witness. It never replaces the claim of another executor,
     * because attempt numbers of different executors cannot be compared and either claim may be the
     * one that a majority has accepted.
     */
    void merge(ActClaimRecord claim) {
        List<ActClaimRecord> records = new ArrayList<>(find(claim.getKey()));
        for (int i = 0; i < records.size(); i++) {
            if (sameExecutor(records.get(i), claim)) {
                if (isNewer(claim, records.get(i))) {
                    records.set(i, claim);
                    store(claim, records);
                }
                return;
            }
        }
        boolean abandoned = claim.getState() == ActState.ACT_STATE_ABANDONED;
        if (records.size() < MAX_CLAIMS_PER_KEY && !(abandoned && !records.isEmpty())) {
            records.add(claim);
            store(claim, records);
        }
    }

    private static boolean isNewer(ActClaimRecord a, ActClaimRecord b) {
        if (a.getAttempt() != b.getAttempt()) {
            return a.getAttempt() > b.getAttempt();
        }
        return a.getState().getNumber() > b.getState().getNumber();
    }

    /** Updates the claim of the same executor and attempt if it is present. */
    void recordOutcome(ActClaimRecord ended) {
        List<ActClaimRecord> records = new ArrayList<>(find(ended.getKey()));
        records.replaceAll(
                c -> sameExecutor(c, ended) && c.getAttempt() == ended.getAttempt() ? ended : c);
        if (records.contains(ended)) {
            store(ended, records);
        }
    }

    /** Removes a claim whose executor has promised never to execute it. */
    void remove(ActClaimRecord claim) {
        List<ActClaimRecord> records = new ArrayList<>(find(claim.getKey()));
        if (records.remove(claim)) {
            if (records.isEmpty()) {
                claims.remove(claim.getKey());
            } else {
                store(claim, records);
            }
        }
    }

    static boolean sameExecutor(ActClaimRecord a, ActClaimRecord b) {
        return a.getExecutor().equals(b.getExecutor())
                && a.getExecutorIncarnation() == b.getExecutorIncarnation();
    }

    void expire() {
        Iterator<KeyClaims> oldest = claims.values().iterator();
        while (oldest.hasNext() && isExpired(oldest.next())) {
            oldest.remove();
        }
    }

    /** Returns all unexpired claims with their ages, for copying to other witnesses. */
    Collection<ActClaimRecord> export() {
        return claims.values().stream()
                .filter(s -> !isExpired(s))
                .flatMap(
                        s ->
                                s.records().stream()
                                        .map(
                                                c ->
                                                        c.toBuilder()
                                                                .setAgeMs(age(s).toMillis())
                                                                .build()))
                .toList();
    }

    int size() {
        return claims.size();
    }

    private Duration age(KeyClaims keyClaims) {
        return Duration.ofNanos(time.nanoTime() - keyClaims.claimedNanos());
    }

    private boolean isExpired(KeyClaims keyClaims) {
        return age(keyClaims).compareTo(RETENTION) >= 0;
    }
}
