package org.bronzehill.core.cluster;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Delays, losses, partitions and silent connections between the virtual instances. */
final class VirtualNetwork {

    private final RandomGenerator random;
    private final Set<String> blocked = new HashSet<>();
    private final Set<String> silent = new HashSet<>();
    private final Set<String> silentNow = new HashSet<>();
    long minDelayNanos = 300_000;
    long maxDelayNanos = 2_000_000;
    double drop;
    double slow;
    long slowNanos;

    VirtualNetwork(RandomGenerator random) {
        this.random = random;
    }

    private static String link(String from, String to) {
        return from + ">" + to;
    }

    void block(String from, String to) {
        blocked.add(link(from, to));
    }

    void partition(Set<String> one, Set<String> other) {
        for (String a : one) {
            for (String b : other) {
                block(a, b);
                block(b, a);
            }
        }
    }

    void heal() {
        blocked.clear();
        silent.clear();
        silentNow.clear();
    }

    /** Makes the open connection silent until a new one is opened. */
    void silence(String from, String to) {
        silent.add(link(from, to));
        silentNow.add(link(from, to));
    }

    /** Returns the delay of a message, or -1 if it is lost. */
    long delay(String from, String to, boolean fresh) {
        String link = link(from, to);
        if (blocked.contains(link)) {
            return -1;
        }
        if (silentNow.contains(link)) {
            if (!fresh) {
                return -1;
            }
            silentNow.remove(link);
            silentNow.remove(link(to, from));
        }
        if (drop > 0 && random.nextDouble() < drop) {
            return -1;
        }
        long base = minDelayNanos + random.nextLong(maxDelayNanos - minDelayNanos + 1);
        return slow > 0 && random.nextDouble() < slow ? base + random.nextLong(slowNanos) : base;
    }

    boolean isBlocked(String from, String to) {
        return blocked.contains(link(from, to));
    }
}
