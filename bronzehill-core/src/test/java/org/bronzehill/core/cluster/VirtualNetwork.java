package org.bronzehill.core.cluster;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Simulates delays, losses, partitions and stalled connections between the virtual instances. */
final class VirtualNetwork {

    private final RandomGenerator random;
    private final Set<String> blocked = new HashSet<>();
    private final Set<String> silent = new HashSet<>();
    private final Set<String> currentlySilent = new HashSet<>();
    long minDelayNanos = 300_000;
    long maxDelayNanos = 2_000_000;
    double dropProbability;
    double slowProbability;
    long maxSlowExtraNanos;

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
        currentlySilent.clear();
    }

    /** Drops all messages on the open connection until a new one is opened. */
    void silenceOpenConnection(String from, String to) {
        silent.add(link(from, to));
        currentlySilent.add(link(from, to));
    }

    /** Returns the delay of a message in nanoseconds, or -1 if it is lost. */
    long delayNanos(String from, String to, boolean newConnection) {
        String link = link(from, to);
        if (blocked.contains(link)) {
            return -1;
        }
        if (currentlySilent.contains(link)) {
            if (!newConnection) {
                return -1;
            }
            currentlySilent.remove(link);
            currentlySilent.remove(link(to, from));
        }
        if (dropProbability > 0 && random.nextDouble() < dropProbability) {
            return -1;
        }
        long base = minDelayNanos + random.nextLong(maxDelayNanos - minDelayNanos + 1);
        return slowProbability > 0 && random.nextDouble() < slowProbability
                ? base + random.nextLong(maxSlowExtraNanos)
                : base;
    }

    boolean isBlocked(String from, String to) {
        return blocked.contains(link(from, to));
    }
}
