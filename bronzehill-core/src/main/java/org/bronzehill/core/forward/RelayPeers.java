package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.time.TimeSource;

/**
 * Selects the instances to which an isolated instance relays the requests of its callers. Which
 * other instances reach the upstreams is learned from their answers.
 */
final class RelayPeers {

    /** Time for which an instance that has refused a request, or cannot be reached, is left out. */
    private static final Duration EXCLUSION_TIME = Duration.ofSeconds(2);

    /** Time for which an instance that has served a request is preferred. */
    private static final Duration PREFERENCE_TIME = Duration.ofSeconds(5);

    /** Number of preferred instances below which others are tried, so that the load is spread. */
    private static final int MIN_PREFERRED = 3;

    private final Membership membership;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Map<String, Long> excludedUntil = new HashMap<>();
    private final Map<String, Long> preferredUntil = new HashMap<>();

    RelayPeers(Membership membership, TimeSource time, RandomGenerator random) {
        this.membership = membership;
        this.time = time;
        this.random = random;
    }

    /** Returns whether there are other live instances. */
    boolean exist() {
        return membership.live().size() > 1;
    }

    /** Returns the next instance to be tried; empty if there is none. */
    Option<InstanceRef> next(Set<String> tried) {
        long now = time.nanoTime();
        excludedUntil.values().removeIf(until -> now - until >= 0);
        preferredUntil.values().removeIf(until -> now - until >= 0);
        List<InstanceRef> candidates =
                membership.live().stream()
                        .filter(i -> !i.id().equals(membership.self().id()))
                        .filter(i -> !tried.contains(i.id()) && !excludedUntil.containsKey(i.id()))
                        .toList();
        List<InstanceRef> preferred =
                candidates.stream().filter(i -> preferredUntil.containsKey(i.id())).toList();
        List<InstanceRef> from = preferred.size() >= MIN_PREFERRED ? preferred : candidates;
        return from.isEmpty() ? Option.none() : Option.of(from.get(random.nextInt(from.size())));
    }

    /** Records that an instance has answered a request with the answer of an upstream. */
    void onServed(String instance) {
        preferredUntil.put(instance, time.nanoTime() + PREFERENCE_TIME.toNanos());
    }

    /** Records that an instance has refused a request, or cannot be reached. */
    void onNotServed(String instance) {
        preferredUntil.remove(instance);
        excludedUntil.put(instance, time.nanoTime() + EXCLUSION_TIME.toNanos());
    }
}
