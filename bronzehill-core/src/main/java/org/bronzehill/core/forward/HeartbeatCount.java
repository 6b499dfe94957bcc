package org.bronzehill.core.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Number of heartbeat intervals that have passed between changes of upstreams' records, which have
 * no times. Two writes in sequence of an unchanged upstream are one interval apart, or more if it
 * has not written each heartbeat. Intervals that do not overlap are counted: those of the upstream
 * with the longest sequence, and before and after it those of others. Following one upstream as
 * long as possible averages the jitter of its heartbeats.
 */
final class HeartbeatCount {

    /** Indices of the entries at which the counted intervals begin. */
    private final TreeSet<Integer> begins = new TreeSet<>();

    private final List<List<Integer>> sequences = new ArrayList<>();

    private HeartbeatCount() {}

    /**
     * @param entries changes in the order in which they were made
     */
    static HeartbeatCount of(List<UpstreamHistoryEntry> entries) {
        HeartbeatCount count = new HeartbeatCount();
        count.findSequences(entries);
        count.select(0, entries.size());
        return count;
    }

    /** Returns the smallest number of intervals that have passed since an entry. */
    int since(int index) {
        return begins.tailSet(index).size();
    }

    /**
     * Finds the sequences of writes without a change. A write because of a change is not part of
     * one, as it may be early, and so may be the time until the next one.
     */
    private void findSequences(List<UpstreamHistoryEntry> entries) {
        Map<String, List<Integer>> open = new HashMap<>();
        Map<String, UpstreamRecord> last = new HashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            UpstreamHistoryEntry e = entries.get(i);
            UpstreamRecord written = e.written().getOrNull();
            UpstreamRecord previous = last.put(e.id(), written);
            boolean changed = written == null || previous != null && !isSame(previous, written);
            if (changed) {
                open.remove(e.id());
            } else {
                int index = i;
                open.computeIfAbsent(e.id(), id -> newSequence()).add(index);
            }
        }
    }

    private List<Integer> newSequence() {
        List<Integer> sequence = new ArrayList<>();
        sequences.add(sequence);
        return sequence;
    }

    private static boolean isSame(UpstreamRecord a, UpstreamRecord b) {
        return a.hasSameRouting(b) && a.models().equals(b.models());
    }

    /** Selects intervals between two indices, both included. */
    private void select(int from, int to) {
        List<Integer> longest = List.of();
        for (List<Integer> sequence : sequences) {
            List<Integer> part = part(sequence, from, to);
            longest = part.size() > longest.size() ? part : longest;
        }
        if (longest.size() > 1) {
            begins.addAll(longest.subList(0, longest.size() - 1));
            select(from, longest.get(0));
            select(longest.get(longest.size() - 1), to);
        }
    }

    private static List<Integer> part(List<Integer> sequence, int from, int to) {
        return sequence.subList(firstFrom(sequence, from), firstFrom(sequence, to + 1));
    }

    /** Returns the position of the first element that is not below a bound. */
    private static int firstFrom(List<Integer> sequence, int bound) {
        int found = Collections.binarySearch(sequence, bound);
        return found < 0 ? -found - 1 : found;
    }
}
