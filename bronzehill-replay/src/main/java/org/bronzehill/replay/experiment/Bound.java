package org.bronzehill.replay.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.bronzehill.config.Limits;
import org.bronzehill.replay.harness.SimulatedDurations;

/**
 * Bounds that no policy can beat on a given list of requests, even if it knows all arrivals in
 * advance; two of them hold only for policies without prefetch or without delays. The bounds assume
 * that the adapter slots of all engines are pooled and that requests outside the list need no
 * resources; both assumptions only weaken the bounds.
 */
public final class Bound {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
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
     * Creates the bounds for the model requests among the given ones.
     *
     * @param coldStart whether no adapter is loaded when the first request arrives
     */
    public static Bound create(
            List<RequestOutcome> requests, int slots, Limits limits, boolean coldStart) {
        List<RequestOutcome> sorted =
                requests.stream()
                        .filter(RequestOutcome::isModelRequest)
                        .sorted(Comparator.comparingLong(RequestOutcome::arrivedNanos))
                        .toList();
        return new Bound(sorted, slots, limits, coldStart);
    }

    /**
     * Returns a lower bound of the given percentile of stalls, if adapters may be loaded before
     * they are requested. At most (slots + burst + rate × w) different adapters can be resident at
     * some time within a window of length w. The requests of all other adapters, at best the least
     * requested ones, wait beyond the end of the window.
     */
    public long stallPercentile(double share) {
        long best = 0;
        for (long stall = NANOS_PER_SECOND / 4;
                stall <= 64 * NANOS_PER_SECOND;
                stall += NANOS_PER_SECOND / 4) {
            if (minStalledRequests(stall) <= (1 - share) * requests.size()) {
                return best;
            }
            best = stall;
        }
        return best;
    }

    /** Returns a lower bound of the number of requests that stall for at least {@code stall}. */
    private long minStalledRequests(long stall) {
        long most = 0;
        for (int seconds : WINDOW_SECONDS) {
            most = Math.max(most, minStalledRequests(stall, seconds * NANOS_PER_SECOND));
        }
        return most;
    }

    private long minStalledRequests(long stall, long window) {
        if (requests.isEmpty() || window <= stall) {
            return 0;
        }
        long total = 0;
        long first = requests.get(0).arrivedNanos();
        Map<String, Integer> counts = new HashMap<>();
        long index = 0;
        for (RequestOutcome r : requests) {
            long at = r.arrivedNanos() - first;
            if (at / window != index) {
                total += minUnservedRequests(counts, window, index == 0);
                counts.clear();
                index = at / window;
            }
            if (at % window < window - stall) {
                counts.merge(r.adapter(), 1, Integer::sum);
            }
        }
        return total + minUnservedRequests(counts, window, index == 0);
    }

    private long minUnservedRequests(
            Map<String, Integer> counts, long window, boolean firstWindow) {
        double loads =
                limits.storeFullSpeed() + limits.storeLoadsPerSecond() * window / NANOS_PER_SECOND;
        int resident = firstWindow && coldStart ? 0 : slots;
        int maxLoadedAdapters = (int) Math.min(Integer.MAX_VALUE, resident + Math.ceil(loads));
        if (counts.size() <= maxLoadedAdapters) {
            return 0;
        }
        int[] sorted = counts.values().stream().mapToInt(Integer::intValue).sorted().toArray();
        return Arrays.stream(sorted).limit(sorted.length - maxLoadedAdapters).asLongStream().sum();
    }

    /**
     * Returns a lower bound of the given percentile of stalls, if adapters are loaded only once
     * they are requested and none is loaded when the first request arrives, whatever {@code
     * coldStart} says. No replacement policy misses less often than the optimal offline one, which
     * evicts the adapter with the furthest next use, and each miss costs a transfer at full speed.
     */
    public long stallPercentileWithoutPrefetch(double share) {
        List<Long> stalls = stallsWithoutPrefetch();
        if (stalls.isEmpty()) {
            return 0;
        }
        long[] sorted = stalls.stream().mapToLong(Long::longValue).sorted().toArray();
        return sorted[(int) Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
    }

    private List<Long> stallsWithoutPrefetch() {
        int n = requests.size();
        int[] next = nextUse();
        Map<String, Integer> residentNextUse = new HashMap<>();
        Map<String, Long> loadedAtNanos = new HashMap<>();
        PriorityQueue<int[]> byNextUse =
                new PriorityQueue<>(Comparator.comparingInt((int[] a) -> a[0]).reversed());
        List<Long> stalls = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            RequestOutcome r = requests.get(i);
            if (!residentNextUse.containsKey(r.adapter())) {
                if (residentNextUse.size() >= slots) {
                    evictFurthest(byNextUse, residentNextUse);
                }
                loadedAtNanos.put(
                        r.adapter(), r.arrivedNanos() + SimulatedDurations.TRANSFER_NANOS);
            }
            stalls.add(Math.max(0, loadedAtNanos.get(r.adapter()) - r.arrivedNanos()));
            residentNextUse.put(r.adapter(), next[i]);
            byNextUse.add(new int[] {next[i], i});
        }
        return stalls;
    }

    private void evictFurthest(
            PriorityQueue<int[]> byNextUse, Map<String, Integer> residentNextUse) {
        while (true) {
            int[] candidate = byNextUse.poll();
            String adapter = requests.get(candidate[1]).adapter();
            Integer present = residentNextUse.get(adapter);
            if (present != null && present == candidate[0]) {
                residentNextUse.remove(adapter);
                return;
            }
        }
    }

    private int[] nextUse() {
        Map<String, Integer> nextIndex = new HashMap<>();
        int[] next = new int[requests.size()];
        for (int i = requests.size() - 1; i >= 0; i--) {
            next[i] = nextIndex.getOrDefault(requests.get(i).adapter(), Integer.MAX_VALUE);
            nextIndex.put(requests.get(i).adapter(), i);
        }
        return next;
    }

    /**
     * Returns an upper bound of the batch efficiency of any policy. Engines are busy for at least
     * the total work divided by the batch size, and at least for the work of any set of requests
     * whose periods from arrival to deadline do not overlap, because such requests cannot share a
     * batch.
     *
     * @param workNanos run time of each request, in the order of arrival
     */
    public double batchEfficiency(long[] workNanos, int batchSize) {
        double work = Arrays.stream(workNanos).sum();
        if (work == 0) {
            return 1;
        }
        double busy = Math.max(work / batchSize, maxDisjointWork(workNanos));
        return work / (busy * batchSize);
    }

    /**
     * Returns an upper bound of the batch efficiency of policies that do not delay urgent requests
     * to fill batches. The runs of urgent requests begin on arrival, and at any time at least as
     * many engines are busy as the running urgent requests need. All other requests fill the
     * remaining places in the batches.
     *
     * @param urgent whether the request of that index may not be delayed
     */
    public double batchEfficiencyWithoutDelays(long[] workNanos, boolean[] urgent, int batchSize) {
        double work = Arrays.stream(workNanos).sum();
        if (work == 0) {
            return 1;
        }
        List<long[]> changes = new ArrayList<>();
        for (int i = 0; i < workNanos.length; i++) {
            if (urgent[i]) {
                long at = requests.get(i).arrivedNanos();
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

    /**
     * Returns the maximum total work of requests whose periods from arrival to deadline are
     * pairwise disjoint.
     */
    private double maxDisjointWork(long[] workNanos) {
        int n = requests.size();
        Integer[] byEnd = new Integer[n];
        Arrays.setAll(byEnd, i -> i);
        Arrays.sort(byEnd, Comparator.comparingLong(this::deadlineNanos));
        long[] ends = new long[n];
        double[] best = new double[n + 1];
        for (int k = 0; k < n; k++) {
            RequestOutcome r = requests.get(byEnd[k]);
            ends[k] = deadlineNanos(byEnd[k]);
            int at = Arrays.binarySearch(ends, 0, k, r.arrivedNanos());
            int before = at >= 0 ? at : -at - 1;
            best[k + 1] = Math.max(best[k], best[before] + workNanos[byEnd[k]]);
        }
        return best[n];
    }

    private long deadlineNanos(int index) {
        return requests.get(index).arrivedNanos() + requests.get(index).budgetNanos();
    }
}
