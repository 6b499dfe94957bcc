package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.Map;
import org.bronzehill.core.model.RendezvousHash;

/**
 * Choice of the software version at which a stream begins, by the identifier of its request.
 *
 * <p>The choice is weighted rendezvous hashing: versions get streams in proportion to the numbers
 * of their upstreams, and a change of these numbers moves as few streams as possible. Every
 * instance that knows the numbers can repeat it later, without having seen the stream.
 */
final class VersionChoice {

    private VersionChoice() {}

    /** Smallest and largest number of upstreams of a version within some time. */
    record Range(int min, int max) {}

    /** Returns the version at which the stream of a request begins; empty if there is none. */
    static Option<String> choose(String request, Map<String, Integer> numbers) {
        long key = RendezvousHash.keyHash(request);
        String best = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, Integer> e : numbers.entrySet()) {
            double cost = cost(key, e.getKey(), e.getValue());
            if (cost < lowest) {
                lowest = cost;
                best = e.getKey();
            }
        }
        return Option.of(best);
    }

    /**
     * Returns the version that is chosen for all numbers of upstreams within the ranges; empty if
     * it depends on the numbers.
     */
    static Option<String> chooseForAll(String request, Map<String, Range> ranges) {
        long key = RendezvousHash.keyHash(request);
        for (Map.Entry<String, Range> e : ranges.entrySet()) {
            double highest = cost(key, e.getKey(), e.getValue().min());
            boolean always =
                    highest < Double.POSITIVE_INFINITY
                            && ranges.entrySet().stream()
                                    .filter(o -> !o.getKey().equals(e.getKey()))
                                    .allMatch(
                                            o ->
                                                    highest
                                                            < cost(
                                                                    key,
                                                                    o.getKey(),
                                                                    o.getValue().max()));
            if (always) {
                return Option.of(e.getKey());
            }
        }
        return Option.none();
    }

    /** Returns an exponentially distributed cost; the version with the lowest one is chosen. */
    private static double cost(long key, String version, int upstreams) {
        if (upstreams <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        long weight = RendezvousHash.weightOf(key, RendezvousHash.nameHash(version));
        // 53 bits, moved into the middle of their interval so that the logarithm is finite.
        double uniform = ((weight >>> 11) + 0.5) * 0x1.0p-53;
        return -Math.log(uniform) / upstreams;
    }
}
