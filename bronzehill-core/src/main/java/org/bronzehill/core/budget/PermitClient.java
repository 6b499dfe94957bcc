package org.bronzehill.core.budget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.PermitRequest;

/**
 * Permit state of one instance that holds leases of engines: pending requests, permits in use and
 * the fallback share that it uses while the holder of the budget's lease is unreachable.
 */
final class PermitClient {

    static final long FALLBACK_AFTER_NANOS = 2_000_000_000L;

    private static final long REPEAT_INTERVAL_NANOS = 2_000_000_000L;
    private static final long CONTACT_CHECK_INTERVAL_NANOS = 500_000_000L;
    private static final int MAX_REQUESTS_PER_STEP = 64;
    private static final int MAX_PENDING = 1024;

    private final TimeSource time;
    private final Map<LoadId, Pending> pending = new LinkedHashMap<>();
    private final Map<LoadId, ActivePermit> activePermits = new LinkedHashMap<>();
    private final RateBucket fallbackBucket;
    private long lastContactNanos;
    private long lastSentNanos;

    record LoadId(String engine, long sequence) {}

    /**
     * A permit in use.
     *
     * @param issuer instance that issued the permit; empty if it belongs to the fallback share
     */
    record ActivePermit(String issuer, long expiresNanos) {}

    private static final class Pending {
        private PermitRequest request;
        private long deadlineNanos;
        private String sentTo = "";
        private long sentNanos;
    }

    PermitClient(TimeSource time) {
        this.time = time;
        this.fallbackBucket = new RateBucket(time.nanoTime());
        this.lastContactNanos = time.nanoTime();
    }

    void request(PermitRequest request) {
        long now = time.nanoTime();
        LoadId load = new LoadId(request.getEngine(), request.getSequence());
        if (activePermits.containsKey(load)
                || (pending.size() >= MAX_PENDING && !isPending(load))) {
            return;
        }
        if (pending.isEmpty()) {
            // While no request was pending, nothing was sent to the holder. A long time without
            // contact therefore does not mean that the holder is unreachable.
            lastContactNanos = Math.max(lastContactNanos, now);
        }
        Pending p = pending.computeIfAbsent(load, k -> new Pending());
        p.request = request;
        p.deadlineNanos = now + request.getDeadlineMs() * 1_000_000;
        p.sentTo = "";
    }

    boolean isPending(LoadId load) {
        return pending.containsKey(load);
    }

    /** Removes a pending request; returns whether there was one. */
    boolean withdraw(LoadId load) {
        return pending.remove(load) != null;
    }

    /** Records a granted permit, which ends the pending request. */
    void granted(LoadId load, String issuer, long validNanos) {
        pending.remove(load);
        activePermits.put(load, new ActivePermit(issuer, time.nanoTime() + validNanos));
    }

    ActivePermit removePermit(LoadId load) {
        return activePermits.remove(load);
    }

    boolean holdsPermit(LoadId load) {
        return activePermits.containsKey(load);
    }

    void recordContact() {
        lastContactNanos = time.nanoTime();
    }

    /**
     * Removes expired permits, and returns the requests to send now and marks them as sent. These
     * are the requests that were not sent to this holder in this epoch and those that are due to be
     * repeated, up to a maximum; if there are none, the most urgent request, to check that the
     * holder can be reached.
     */
    List<PermitRequest> takeDueRequests(String holder, long fencing) {
        long now = time.nanoTime();
        activePermits.values().removeIf(permit -> now - permit.expiresNanos() >= 0);
        String target = holder + "#" + fencing;
        List<Pending> chosen = new ArrayList<>();
        for (Pending p : pending.values()) {
            if (chosen.size() < MAX_REQUESTS_PER_STEP
                    && (!p.sentTo.equals(target) || now - p.sentNanos >= REPEAT_INTERVAL_NANOS)) {
                chosen.add(p);
            }
        }
        if (chosen.isEmpty()
                && !pending.isEmpty()
                && now - lastSentNanos >= CONTACT_CHECK_INTERVAL_NANOS) {
            chosen.add(mostUrgent());
        }
        List<PermitRequest> requests = new ArrayList<>();
        for (Pending p : chosen) {
            lastSentNanos = now;
            p.sentTo = target;
            p.sentNanos = now;
            long left = Math.max(0, (p.deadlineNanos - now) / 1_000_000);
            requests.add(p.request.toBuilder().setDeadlineMs(left).build());
        }
        return requests;
    }

    private Pending mostUrgent() {
        return pending.values().stream()
                .min(Comparator.comparingLong(p -> p.deadlineNanos))
                .orElseThrow();
    }

    /**
     * Grants permits from this instance's own share of the rate while the budget holder is
     * unreachable, and returns their loads.
     */
    List<LoadId> grantFallback(double perSecond, int maxInFlight) {
        long now = time.nanoTime();
        List<LoadId> allowed = new ArrayList<>();
        if (pending.isEmpty() || now - lastContactNanos < FALLBACK_AFTER_NANOS) {
            fallbackBucket.reset(now);
            return allowed;
        }
        fallbackBucket.refill(perSecond, now);
        long active =
                activePermits.values().stream().filter(permit -> permit.issuer().isEmpty()).count();
        while (!pending.isEmpty() && active < maxInFlight && fallbackBucket.tryTake()) {
            PermitRequest r = mostUrgent().request;
            LoadId load = new LoadId(r.getEngine(), r.getSequence());
            granted(load, "", PermitIssuer.PERMIT_VALIDITY_NANOS);
            allowed.add(load);
            active++;
        }
        return allowed;
    }
}
