package org.bronzehill.core.budget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.HandleUse;
import org.bronzehill.protocol.generated.HolderHandover;
import org.bronzehill.protocol.generated.PermitRequest;

/**
 * Permit state of the budget holder: one queue of requests for the whole region, and the permits in
 * use.
 */
final class PermitIssuer {

    static final long PERMIT_VALIDITY_NANOS = 5_000_000_000L;

    /**
     * Age at which a request is dropped. A client repeats its pending requests every 2 s, so the
     * client of a request of this age must have stopped sending it.
     */
    private static final long REQUEST_EXPIRY_NANOS = 10_000_000_000L;

    private static final int MAX_QUEUED_REQUESTS = 8192;

    /**
     * Deadlines in the same interval of 250 ms, the duration of one load, count as equal; the value
     * then decides.
     */
    private static final long DEADLINE_STEP_NANOS = 250_000_000L;

    private static final Comparator<Entry> ORDER =
            Comparator.<Entry>comparingLong(e -> Math.floorDiv(e.deadline, DEADLINE_STEP_NANOS))
                    .thenComparing(e -> -e.value)
                    .thenComparingLong(e -> e.order);

    private final TimeSource time;
    private final Map<PermitKey, Entry> queue = new HashMap<>();
    private final Map<PermitKey, Long> inUse = new HashMap<>();
    private final RateBucket bucket;
    private long currentFencing;
    private long blockedUntilNanos;
    private long nextOrder;

    private record Entry(
            PermitKey key, long deadline, double value, long order, long refreshedNanos) {}

    PermitIssuer(TimeSource time) {
        this.time = time;
        this.bucket = new RateBucket(time.nanoTime());
    }

    /**
     * Returns the fencing number under which permits are issued; 0 if this instance does not hold
     * the budget.
     */
    long currentFencing() {
        return currentFencing;
    }

    /**
     * Starts an epoch with an empty bucket. Without a handover, the previous holder's permits are
     * unknown and may use the whole in-flight limit, so no permit is issued until they have
     * expired.
     */
    void start(long fencing, HolderHandover handover) {
        long now = time.nanoTime();
        if (currentFencing != fencing) {
            stop();
            currentFencing = fencing;
            bucket.reset(now);
            blockedUntilNanos = now + PERMIT_VALIDITY_NANOS;
        }
        if (handover != null) {
            blockedUntilNanos = now;
            for (HandleUse h : handover.getHandlesList()) {
                PermitKey key = PermitKey.parse(h.getHandle());
                if (key != null) {
                    inUse.put(key, now + PERMIT_VALIDITY_NANOS);
                }
            }
        }
    }

    void stop() {
        currentFencing = 0;
        queue.clear();
        inUse.clear();
    }

    HolderHandover handover() {
        HolderHandover.Builder b = HolderHandover.newBuilder();
        expire(time.nanoTime());
        inUse.keySet().forEach(k -> b.addHandlesBuilder().setHandle(k.toText()).setRunning(1));
        return b.build();
    }

    boolean isIssued(PermitKey key) {
        return inUse.containsKey(key);
    }

    /** Queues a request or updates a queued one; returns false if the queue is full. */
    boolean enqueue(PermitKey key, PermitRequest request) {
        Entry old = queue.get(key);
        if (old == null && queue.size() >= MAX_QUEUED_REQUESTS) {
            return false;
        }
        long now = time.nanoTime();
        long deadline = now + request.getDeadlineMs() * 1_000_000;
        long order = old == null ? nextOrder++ : old.order;
        queue.put(key, new Entry(key, deadline, request.getValue(), order, now));
        return true;
    }

    /** Removes a request or permit; an unused permit returns its token. */
    void release(PermitKey key, boolean used) {
        queue.remove(key);
        if (inUse.remove(key) != null && !used) {
            bucket.returnToken();
        }
    }

    private void expire(long now) {
        inUse.values().removeIf(end -> now - end >= 0);
        queue.values().removeIf(e -> now - e.refreshedNanos >= REQUEST_EXPIRY_NANOS);
    }

    /**
     * Issues the permits that the rate and the in-flight limit allow now, in the order of the
     * queue.
     */
    List<PermitKey> issue(
            double perSecond, int maxInFlight, java.util.function.Predicate<String> up) {
        long now = time.nanoTime();
        expire(now);
        bucket.refill(perSecond, now);
        List<PermitKey> issued = new ArrayList<>();
        while (now - blockedUntilNanos >= 0 && inUse.size() < maxInFlight) {
            Entry best =
                    queue.values().stream()
                            .filter(e -> up.test(e.key.client()))
                            .min(ORDER)
                            .orElse(null);
            if (best == null || !bucket.tryTake()) {
                break;
            }
            queue.remove(best.key);
            inUse.put(best.key, now + PERMIT_VALIDITY_NANOS);
            issued.add(best.key);
        }
        return issued;
    }
}
