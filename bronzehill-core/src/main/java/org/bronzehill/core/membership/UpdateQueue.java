package org.bronzehill.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The ids of changed rows, with the number of times that each change is still to be gossiped. */
final class UpdateQueue {

    /** SWIM's retransmission factor; 3·log2(n) sends reach all of n instances. */
    private static final int RETRANSMIT_FACTOR = 3;

    private final Map<String, Integer> remainingSends = new LinkedHashMap<>();

    /** Schedules a row for gossip in a fleet of {@code size} instances. */
    void add(String id, int size) {
        int log = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, size));
        remainingSends.put(id, RETRANSMIT_FACTOR * log);
    }

    void remove(String id) {
        remainingSends.remove(id);
    }

    /** Returns up to {@code limit} ids for one message, those sent least often first. */
    List<String> take(int limit) {
        if (remainingSends.isEmpty()) {
            return List.of();
        }
        List<Map.Entry<String, Integer>> entries = new ArrayList<>(remainingSends.entrySet());
        entries.sort(Comparator.comparing(e -> -e.getValue()));
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < Math.min(limit, entries.size()); i++) {
            taken.add(entries.get(i).getKey());
        }
        for (String id : taken) {
            remainingSends.computeIfPresent(id, (k, left) -> left > 1 ? left - 1 : null);
        }
        return taken;
    }
}
