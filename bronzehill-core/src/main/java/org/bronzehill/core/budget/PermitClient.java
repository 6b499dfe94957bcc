package org.bronzehill.core.budget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.PermitRequest;

/** The engine holder's side: requests that wait, permits in use and the fallback share. */
final class PermitClient {

    static final long FALLBACK_NANOS = 2_000_000_000L;

    private static final long REPEAT_NANOS = 2_000_000_000L;
    private static final long CONTACT_NANOS = 500_000_000L;
    private static final int MAX_REPEATS = 64;
    private static final int MAX_PENDING = 1024;

    private final TimeSource time;
    private final Map<Load, Pending> pending = new LinkedHashMap<>();
    private final Map<Load, Held> held = new LinkedHashMap<>();
    private final RateBucket share;
    private long contactAt;
    private long checkedAt;

    record Load(String engine, long sequence) {}

    /**
     * A permit in use.
     *
     * @param issuer instance that issued it; empty for one of the fallback share
     */
    record Held(String issuer, long until) {}

    private static final class Pending {
        private PermitRequest request;
        private long deadline;
        private String sentTo = "";
        private long sentAt;
    }

    PermitClient(TimeSource time) {
        this.time = time;
        this.share = new RateBucket(time.nanoTime());
        this.contactAt = time.nanoTime();
    }

    void request(PermitRequest request) {
        long now = time.nanoTime();
        Load load = new Load(request.getEngine(), request.getSequence());
        if (held.containsKey(load) || (pending.size() >= MAX_PENDING && !waits(load))) {
            return;
        }
        if (pending.isEmpty()) {
            // The time without requests says nothing about the reachability of the holder.
            contactAt = Math.max(contactAt, now);
        }
        Pending p = pending.computeIfAbsent(load, k -> new Pending());
        p.request = request;
        p.deadline = now + request.getDeadlineMs() * 1_000_000;
        p.sentTo = "";
    }

    boolean waits(Load load) {
        return pending.containsKey(load);
    }

    /** Removes a waiting request; returns whether there was one. */
    boolean withdraw(Load load) {
        return pending.remove(load) != null;
    }

    /** Takes a permit over for a waiting request. */
    void granted(Load load, String issuer, long validNanos) {
        pending.remove(load);
        held.put(load, new Held(issuer, time.nanoTime() + validNanos));
    }

    Held finish(Load load) {
        return held.remove(load);
    }

    boolean holdsPermit(Load load) {
        return held.containsKey(load);
    }

    void contact() {
        contactAt = time.nanoTime();
    }

    /**
     * Returns the requests to send now: those that this holder under this epoch has not received,
     * and, as a check of the contact, the most urgent one.
     */
    List<PermitRequest> due(String holder, long epoch) {
        long now = time.nanoTime();
        held.values().removeIf(h -> now - h.until() >= 0);
        String target = holder + "#" + epoch;
        List<Pending> chosen = new ArrayList<>();
        for (Pending p : pending.values()) {
            if (chosen.size() < MAX_REPEATS
                    && (!p.sentTo.equals(target) || now - p.sentAt >= REPEAT_NANOS)) {
                chosen.add(p);
            }
        }
        if (chosen.isEmpty() && !pending.isEmpty() && now - checkedAt >= CONTACT_NANOS) {
            chosen.add(mostUrgent());
        }
        List<PermitRequest> requests = new ArrayList<>();
        for (Pending p : chosen) {
            checkedAt = now;
            p.sentTo = target;
            p.sentAt = now;
            long left = Math.max(0, (p.deadline - now) / 1_000_000);
            requests.add(p.request.toBuilder().setDeadlineMs(left).build());
        }
        return requests;
    }

    private Pending mostUrgent() {
        return pending.values().stream()
                .min(Comparator.comparingLong(p -> p.deadline))
                .orElseThrow();
    }

    /** Returns the loads that this instance's own share allows while the holder is unreachable. */
    List<Load> fallback(double perSecond, int inFlight) {
        long now = time.nanoTime();
        List<Load> allowed = new ArrayList<>();
        if (pending.isEmpty() || now - contactAt < FALLBACK_NANOS) {
            share.empty(now);
            return allowed;
        }
        share.refill(perSecond, now);
        long own = held.values().stream().filter(h -> h.issuer().isEmpty()).count();
        while (!pending.isEmpty() && own < inFlight && share.take()) {
            PermitRequest r = mostUrgent().request;
            Load load = new Load(r.getEngine(), r.getSequence());
            granted(load, "", PermitIssuer.PERMIT_NANOS);
            allowed.add(load);
            own++;
        }
        return allowed;
    }
}
