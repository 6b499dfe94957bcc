package org.bronzehill.replay.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.bronzehill.config.Limits;
import org.bronzehill.replay.harness.FakeServiceTimes;

/**
 * Bounds that no policy can beat on a given list of requests, even one that knows all arrivals. All
 * adapter slots are pooled and requests of other kinds cost nothing, which only helps a policy.
 */
public final class Bound {

    private static final long SECOND = 1_000_000_000L;
    private static final int[] WINDOW_SECONDS = {1, 2, 5, 10, 20, 40, 80, 160, 320};

    private final List<RequestOutcome> requests;
    private final int slots;
    private final Limits limits;
    private final boolean coldStart;

    private Bound(List<RequestOutcome> requests, int slots, Limits limits, boolean coldStart) {
        this.requests = requests;
        this.slots = slots;
        this.limits = limits;
        this.coldStart = coldStart;
    }

    /**
     * Creates the bound for the stalls of some model requests.
     *
     * @param coldStart whether no adapter is loaded when the first request arrives
     */
    public static Bound create(
            List<RequestOutcome> requests, int slots, Limits limits, boolean coldStart) {
        List<RequestOutcome> sorted =
                requests.stream()
                        .filter(RequestOutcome::isModel)
                        .sorted(Comparator.comparingLong(RequestOutcome::arrived))
                        .toList();
        return new Bound(sorted, slots, limits, coldStart);
    }

    /**
     * Returns the smallest stall that the given share of requests can have, if adapters may be
     * loaded before they are asked for. In a window of length w at most (slots + burst + rate × w)
     * different adapters can be resident at some time; the requests of the least wanted others wait
     * beyond its end.
     */
    public long stallPercentile(double share) {
        long best = 0;
        for (long stall = SECOND / 4; stall <= 64 * SECOND; stall += SECOND / 4) {
            if (late(stall) <= (1 - share) * requests.size()) {
                return best;
            }
            best = stall;
        }
        return best;
    }

    /** Returns a lower bound of the number of requests that stall for at least {@code stall}. */
    private long late(long stall) {
        long most = 0;
        for (int seconds : WINDOW_SECONDS) {
            most = Math.max(most, late(stall, seconds * SECOND));
        }
        return most;
    }

    private long late(long stall, long window) {
        if (requests.isEmpty() || window <= stall) {
            return 0;
        }
        long total = 0;
        long first = requests.get(0).arrived();
        Map<String, Integer> counts = new HashMap<>();
        long index = 0;
        for (RequestOutcome r : requests) {
            long at = r.arrived() - first;
            if (at / window != index) {
                total += excess(counts, window, index == 0);
                counts.clear();
                index = at / window;
            }
            if (at % window < window - stall) {
                counts.merge(r.adapter(), 1, Integer::sum);
            }
        }
        return total + excess(counts, window, index == 0);
    }

    private long excess(Map<String, Integer> counts, long window, boolean firstWindow) {
        double loads = limits.storeFullSpeed() + limits.storeLoadsPerSecond() * window / SECOND;
        int resident = firstWindow && coldStart ? 0 : slots;
        int reachable = (int) Math.min(Integer.MAX_VALUE, resident + Math.ceil(loads));
        if (counts.size() <= reachable) {
            return 0;
        }
        int[] sorted = counts.values().stream().mapToInt(Integer::intValue).sorted().toArray();
        return Arrays.stream(sorted).limit(sorted.length - reachable).asLongStream().sum();
    }

    /**
     * Returns the smallest stall that the given share of requests can have, if adapters are only
     * loaded once they are asked for: the optimal offline replacement (furthest next use) misses at
     * least this often, and each miss costs one transfer at full speed.
     */
    public long demandStallPercentile(double share) {
        List<Long> stalls = demandStalls();
        if (stalls.isEmpty()) {
            return 0;
        }
        long[] sorted = stalls.stream().mapToLong(Long::longValue).sorted().toArray();
        return sorted[(int) Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
    }

    private List<Long> demandStalls() {
        int n = requests.size();
        int[] next = nextUse();
        Map<String, Integer> residentNextUse = new HashMap<>();
        Map<String, Long> arrives = new HashMap<>();
        PriorityQueue<int[]> furthest =
                new PriorityQueue<>(Comparator.comparingInt((int[] a) -> a[0]).reversed());
        List<Long> stalls = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            RequestOutcome r = requests.get(i);
            if (!residentNextUse.containsKey(r.adapter())) {
                if (residentNextUse.size() >= slots) {
                    evictFurthest(furthest, residentNextUse);
                }
                arrives.put(r.adapter(), r.arrived() + FakeServiceTimes.TRANSFER_NANOS);
            }
            stalls.add(Math.max(0, arrives.get(r.adapter()) - r.arrived()));
            residentNextUse.put(r.adapter(), next[i]);
            furthest.add(new int[] {next[i], i});
        }
        return stalls;
    }

    private void evictFurthest(
            PriorityQueue<int[]> furthest, Map<String, Integer> residentNextUse) {
        while (true) {
            int[] top = furthest.poll();
            String adapter = requests.get(top[1]).adapter();
            Integer present = residentNextUse.get(adapter);
            if (present != null && present == top[0]) {
                residentNextUse.remove(adapter);
                return;
            }
        }
    }

    private int[] nextUse() {
        Map<String, Integer> seen = new HashMap<>();
        int[] next = new int[requests.size()];
        for (int i = requests.size() - 1; i >= 0; i--) {
            next[i] = seen.getOrDefault(requests.get(i).adapter(), Integer.MAX_VALUE);
            seen.put(requests.get(i).adapter(), i);
        }
        return next;
    }

    /**
     * Returns the highest batch efficiency that any policy can reach: engines must be busy for at
     * least the work divided by the batch size, and for the work of requests whose time windows do
     * not overlap, which cannot share a batch.
     *
     * @param workNanos run time of each request, in the order of arrival
     */
    public double batchEfficiency(long[] workNanos, int batchSize) {
        double work = Arrays.stream(workNanos).sum();
        if (work == 0) {
            return 1;
        }
        double busy = Math.max(work / batchSize, disjointWork(workNanos));
        return work / (busy * batchSize);
    }

    /**
     * Returns the highest batch efficiency of a policy that does not delay urgent requests in order
     * to fill batches: their runs begin on arrival, and at each moment they need at least as many
     * engines as hold all that run. All other requests fill the gaps.
     *
     * @param urgent whether the request of that index may not be delayed
     */
    public double undelayedBatchEfficiency(long[] workNanos, boolean[] urgent, int batchSize) {
        double work = Arrays.stream(workNanos).sum();
        if (work == 0) {
            return 1;
        }
        List<long[]> changes = new ArrayList<>();
        for (int i = 0; i < workNanos.length; i++) {
            if (urgent[i]) {
                long at = requests.get(i).arrived();
                changes.add(new long[] {at, 1});
                changes.add(new long[] {at + workNanos[i], -1});
            }
        }
        changes.sort(Comparator.comparingLong((long[] c) -> c[0]));
        double busy = 0;
        long since = 0;
        int running = 0;
        for (long[] c : changes) {
            busy += (double) (c[0] - since) * ((running + batchSize - 1) / batchSize);
            since = c[0];
            running += (int) c[1];
        }
        return work / (Math.max(work / batchSize, busy) * batchSize);
    }

    /** Returns the largest total work of requests with pairwise disjoint time windows. */
    private double disjointWork(long[] workNanos) {
        int n = requests.size();
        Integer[] byEnd = new Integer[n];
        Arrays.setAll(byEnd, i -> i);
        Arrays.sort(byEnd, Comparator.comparingLong(this::due));
        long[] ends = new long[n];
        double[] best = new double[n + 1];
        for (int k = 0; k < n; k++) {
            RequestOutcome r = requests.get(byEnd[k]);
            ends[k] = due(byEnd[k]);
            int at = Arrays.binarySearch(ends, 0, k, r.arrived());
            int before = at >= 0 ? at : -at - 1;
            best[k + 1] = Math.max(best[k], best[before] + workNanos[byEnd[k]]);
        }
        return best[n];
    }

    private long due(int index) {
        return requests.get(index).arrived() + requests.get(index).budgetNanos();
    }
}
